# Least squares over lines "NAME.SIZE VALUE UNIT" with at least three sizes of
# a name; prints "fit.NAME.slope", "fit.NAME.intercept" and "fit.NAME.r2".
{
	n = split($1, part, ".")
	if (part[n] !~ /^[0-9]+$/)
		next
	name = substr($1, 1, length($1) - length(part[n]) - 1)
	if (!(name in count))
		order[++names] = name
	x = part[n]
	y = $2
	count[name]++
	sx[name] += x
	sy[name] += y
	sxx[name] += x * x
	sxy[name] += x * y
	syy[name] += y * y
	unit[name] = $3
}
END {
	for (i = 1; i <= names; i++) {
		k = order[i]
		c = count[k]
		d = c * sxx[k] - sx[k] * sx[k]
		if (c < 3 || d == 0)
			continue
		slope = (c * sxy[k] - sx[k] * sy[k]) / d
		e = c * syy[k] - sy[k] * sy[k]
		r2 = e > 0 ? slope * slope * d / e : 1
		printf "fit.%s.slope %.6g %s/unit\n", k, slope, unit[k]
		printf "fit.%s.intercept %.6g %s\n", k, (sy[k] - slope * sx[k]) / c, unit[k]
		printf "fit.%s.r2 %.4f -\n", k, r2
	}
}
