target/peer/rpc.o: peer/rpc.c /usr/include/tirpc/rpc/rpc.h \
 /usr/include/tirpc/rpc/types.h /usr/include/tirpc/netconfig.h \
 /usr/include/tirpc/rpc/xdr.h /usr/include/tirpc/rpc/auth.h \
 /usr/include/tirpc/rpc/clnt_stat.h /usr/include/tirpc/rpc/clnt.h \
 /usr/include/tirpc/rpc/clnt_soc.h /usr/include/tirpc/rpc/rpc_msg.h \
 /usr/include/tirpc/rpc/auth_unix.h /usr/include/tirpc/rpc/auth_des.h \
 /usr/include/tirpc/rpc/svc_auth.h /usr/include/tirpc/rpc/svc.h \
 /usr/include/tirpc/rpc/svc_soc.h /usr/include/tirpc/rpc/pmap_clnt.h \
 /usr/include/tirpc/rpc/pmap_prot.h /usr/include/tirpc/rpc/rpcb_clnt.h \
 /usr/include/tirpc/rpc/rpcb_prot.h /usr/include/tirpc/rpc/svc_mt.h \
 /usr/include/tirpc/rpc/rpcent.h peer/peer.h \
 /usr/include/apr-1.0/apr_hash.h /usr/include/apr-1.0/apr_pools.h \
 /usr/include/apr-1.0/apr.h /usr/include/apr-1.0/apr_errno.h \
 /usr/include/apr-1.0/apr_general.h /usr/include/apr-1.0/apr_want.h \
 /usr/include/apr-1.0/apr_allocator.h \
 /usr/include/apr-1.0/apr_thread_mutex.h /usr/include/apr-1.0/apr_time.h \
 lib/az.h /usr/include/apr-1.0/apr_network_io.h \
 /usr/include/apr-1.0/apr_file_io.h /usr/include/apr-1.0/apr_file_info.h \
 /usr/include/apr-1.0/apr_user.h /usr/include/apr-1.0/apr_tables.h \
 /usr/include/apr-1.0/apr_inherit.h /usr/include/apr-1.0/apr_perms_set.h \
 /usr/include/apr-1.0/apr_poll.h /usr/include/apr-1.0/apr_network_io.h \
 /usr/include/apr-1.0/apr_pools.h /usr/include/apr-1.0/apr_thread_proc.h \
 ticket/ticket.h
/usr/include/tirpc/rpc/rpc.h:
/usr/include/tirpc/rpc/types.h:
/usr/include/tirpc/netconfig.h:
/usr/include/tirpc/rpc/xdr.h:
/usr/include/tirpc/rpc/auth.h:
/usr/include/tirpc/rpc/clnt_stat.h:
/usr/include/tirpc/rpc/clnt.h:
/usr/include/tirpc/rpc/clnt_soc.h:
/usr/include/tirpc/rpc/rpc_msg.h:
/usr/include/tirpc/rpc/auth_unix.h:
/usr/include/tirpc/rpc/auth_des.h:
/usr/include/tirpc/rpc/svc_auth.h:
/usr/include/tirpc/rpc/svc.h:
/usr/include/tirpc/rpc/svc_soc.h:
/usr/include/tirpc/rpc/pmap_clnt.h:
/usr/include/tirpc/rpc/pmap_prot.h:
/usr/include/tirpc/rpc/rpcb_clnt.h:
/usr/include/tirpc/rpc/rpcb_prot.h:
/usr/include/tirpc/rpc/svc_mt.h:
/usr/include/tirpc/rpc/rpcent.h:
peer/peer.h:
/usr/include/apr-1.0/apr_hash.h:
/usr/include/apr-1.0/apr_pools.h:
/usr/include/apr-1.0/apr.h:
/usr/include/apr-1.0/apr_errno.h:
/usr/include/apr-1.0/apr_general.h:
/usr/include/apr-1.0/apr_want.h:
/usr/include/apr-1.0/apr_allocator.h:
/usr/include/apr-1.0/apr_thread_mutex.h:
/usr/include/apr-1.0/apr_time.h:
lib/az.h:
/usr/include/apr-1.0/apr_network_io.h:
/usr/include/apr-1.0/apr_file_io.h:
/usr/include/apr-1.0/apr_file_info.h:
/usr/include/apr-1.0/apr_user.h:
/usr/include/apr-1.0/apr_tables.h:
/usr/include/apr-1.0/apr_inherit.h:
/usr/include/apr-1.0/apr_perms_set.h:
/usr/include/apr-1.0/apr_poll.h:
/usr/include/apr-1.0/apr_network_io.h:
/usr/include/apr-1.0/apr_pools.h:
/usr/include/apr-1.0/apr_thread_proc.h:
ticket/ticket.h:
