#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <arpa/inet.h>

#include "lib/az.h"

#define IP_TEXT_BYTES 16

static void format_ip(uint32_t ip, char out[IP_TEXT_BYTES])
{
	snprintf(out, IP_TEXT_BYTES, "%u.%u.%u.%u", ip >> 24, ip >> 16 & 255,
		 ip >> 8 & 255, ip & 255);
}

enum az_status net_parse(const char *s, uint32_t *ip, uint16_t *port)
{
	char text[IP_TEXT_BYTES];
	size_t n = strcspn(s, ":");
	struct in_addr a;
	unsigned long value = 0;

	if (n < sizeof(text) && s[n] == ':') {
		memcpy(text, s, n);
		text[n] = '\0';
		if (inet_pton(AF_INET, text, &a) == 1 &&
		    strspn(s + n + 1, "0123456789") == strlen(s + n + 1))
			value = strtoul(s + n + 1, NULL, 10);
	}
	if (!value || value > UINT16_MAX)
		return az_fail(AZ_INVALID, "'%s' is not IP:PORT", s);
	*ip = ntohl(a.s_addr);
	*port = (uint16_t)value;
	return AZ_OK;
}

apr_sockaddr_t *net_address(uint32_t ip, uint16_t port, apr_pool_t *pool)
{
	apr_sockaddr_t *sa;
	char text[IP_TEXT_BYTES];

	format_ip(ip, text);
	if (apr_sockaddr_info_get(&sa, text, APR_INET, port, 0, pool))
		return NULL;
	return sa;
}

enum az_status net_connect(uint32_t ip, uint16_t port, apr_pool_t *pool,
			   apr_socket_t **out)
{
	apr_sockaddr_t *sa = net_address(ip, port, pool);
	char text[IP_TEXT_BYTES];
	apr_status_t rv;

	format_ip(ip, text);
	*out = NULL;
	if (!sa ||
	    apr_socket_create(out, APR_INET, SOCK_STREAM, APR_PROTO_TCP, pool))
		return az_fail(AZ_IO, "no socket for %s:%u", text, port);
	apr_socket_opt_set(*out, APR_SO_NONBLOCK, 1);
	apr_socket_timeout_set(*out, 0);
	apr_socket_opt_set(*out, APR_TCP_NODELAY, 1);
	rv = apr_socket_connect(*out, sa);
	if (rv != APR_SUCCESS && !APR_STATUS_IS_EINPROGRESS(rv))
		return az_fail(AZ_IO, "connect to %s:%u failed", text, port);
	return AZ_OK;
}
