#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <apr_portable.h>

#include "lib/az.h"

#define IP_TEXT_BYTES 16
/* A connection is closed 3 s after the other end falls silent. The fail-over of
 * a network switch takes less and must not close connections. */
#define KEEP_ALIVE_IDLE_S 1
#define KEEP_ALIVE_INTERVAL_S 1
#define KEEP_ALIVE_PROBES 2
/* The same limit for data sent that the other end does not acknowledge. */
#define UNACKNOWLEDGED_MS 3000

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
		return az_fail(AZ_IO, "cannot create a socket for %s:%u", text,
			       port);
	apr_socket_opt_set(*out, APR_SO_NONBLOCK, 1);
	apr_socket_timeout_set(*out, 0);
	apr_socket_opt_set(*out, APR_TCP_NODELAY, 1);
	rv = apr_socket_connect(*out, sa);
	if (rv != APR_SUCCESS && !APR_STATUS_IS_EINPROGRESS(rv))
		return az_fail(AZ_IO, "connect to %s:%u failed", text, port);
	return AZ_OK;
}

void net_keep_alive(int32_t fd)
{
	const struct {
		int level;
		int name;
		int value;
	} options[] = {
		{ SOL_SOCKET, SO_KEEPALIVE, 1 },
		{ IPPROTO_TCP, TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S },
		{ IPPROTO_TCP, TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S },
		{ IPPROTO_TCP, TCP_KEEPCNT, KEEP_ALIVE_PROBES },
		{ IPPROTO_TCP, TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS },
	};

	/* Without these options a silent connection is detected later, by the
	 * time-outs of the requests. */
	for (uint32_t i = 0; i < sizeof(options) / sizeof(options[0]); i++)
		if (setsockopt(fd, options[i].level, options[i].name,
			       &options[i].value, sizeof(options[i].value)))
			log_write(LOG_DEBUG, "net",
				  "keep-alive option not set option=%d",
				  options[i].name);
}

void net_set_receive_buffer(int32_t fd, uint32_t bytes)
{
	int value = (int)bytes;

	if (setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &value, sizeof(value)))
		log_write(LOG_DEBUG, "net", "receive buffer not set bytes=%u",
			  bytes);
}

enum az_status net_udp(uint32_t ip, uint16_t port, apr_pool_t *pool,
		       apr_socket_t **out)
{
	apr_sockaddr_t *sa = net_address(ip, port, pool);

	*out = NULL;
	if (!sa ||
	    apr_socket_create(out, APR_INET, SOCK_DGRAM, APR_PROTO_UDP, pool))
		return az_fail(AZ_IO, "cannot create a socket for UDP port %u",
			       port);
	apr_socket_opt_set(*out, APR_SO_NONBLOCK, 1);
	apr_socket_timeout_set(*out, 0);
	if (apr_socket_bind(*out, sa) != APR_SUCCESS)
		return az_fail(AZ_IO, "cannot bind UDP port %u", port);
	return AZ_OK;
}

uint32_t net_receive(apr_socket_t *sock, uint8_t *data, uint32_t cap_bytes,
		     uint32_t *ip, uint16_t *port)
{
	struct sockaddr_in from = { 0 };
	socklen_t len = sizeof(from);
	apr_os_sock_t fd = -1;
	ssize_t n;

	apr_os_sock_get(&fd, sock);
	n = recvfrom(fd, data, cap_bytes, MSG_DONTWAIT,
		     (struct sockaddr *)&from, &len);
	if (n <= 0)
		return 0;
	*ip = ntohl(from.sin_addr.s_addr);
	*port = ntohs(from.sin_port);
	return (uint32_t)n;
}

void net_send_to(apr_socket_t *sock, const uint8_t *data, uint32_t len_bytes,
		 uint32_t ip, uint16_t port)
{
	struct sockaddr_in to = {
		.sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = htonl(ip),
	};
	apr_os_sock_t fd = -1;

	apr_os_sock_get(&fd, sock);
	if (sendto(fd, data, len_bytes, MSG_DONTWAIT, (struct sockaddr *)&to,
		   sizeof(to)) < 0)
		log_write(LOG_DEBUG, "net",
			  "datagram lost, as the kernel did not accept it");
}
