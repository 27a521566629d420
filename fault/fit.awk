# Fits VALUE = slope * SIZE + intercept by least squares to the input lines
# "NAME.SIZE VALUE UNIT" of each NAME with at least three sizes. Prints
# "fit.NAME.slope", "fit.NAME.intercept" and "fit.NAME.r2" (coefficient of
# determination).
{
	n = split($1, part, ".")
	if (part[n] !~ /^[0-9]+$/)
		next
	name = substr($1, 1, length($1) - length(part[n]) - 1)
	if (!(name in point_count))
		names[++name_count] = name
	x = part[n]
	y = $2
	point_count[name]++
	sum_x[name] += x
	sum_y[name] += y
	sum_xx[name] += x * x
	sum_xy[name] += x * y
	sum_yy[name] += y * y
	unit[name] = $3
}
END {
	for (i = 1; i <= name_count; i++) {
		k = names[i]
		n = point_count[k]
		var_x = n * sum_xx[k] - sum_x[k] * sum_x[k]
		if (n < 3 || var_x == 0)
			continue
		slope = (n * sum_xy[k] - sum_x[k] * sum_y[k]) / var_x
		var_y = n * sum_yy[k] - sum_y[k] * sum_y[k]
		r2 = var_y > 0 ? slope * slope * var_x / var_y : 1
		printf "fit.%s.slope %.6g %s/unit\n", k, slope, unit[k]
		printf "fit.%s.intercept %.6g %s\n", k, (sum_y[k] - slope * sum_x[k]) / n, unit[k]
		printf "fit.%s.r2 %.4f -\n", k, r2
	}
}
