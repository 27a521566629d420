target/home/cells.o: home/cells.c home/home.h \
 /usr/include/apr-1.0/apr_hash.h /usr/include/apr-1.0/apr_pools.h \
 /usr/include/apr-1.0/apr.h /usr/include/apr-1.0/apr_errno.h \
 /usr/include/apr-1.0/apr_general.h /usr/include/apr-1.0/apr_want.h \
 /usr/include/apr-1.0/apr_allocator.h \
 /usr/include/apr-1.0/apr_thread_mutex.h /usr/include/apr-1.0/apr_time.h \
 conf/conf.h lib/az.h /usr/include/apr-1.0/apr_network_io.h \
 /usr/include/apr-1.0/apr_file_io.h /usr/include/apr-1.0/apr_file_info.h \
 /usr/include/apr-1.0/apr_user.h /usr/include/apr-1.0/apr_tables.h \
 /usr/include/apr-1.0/apr_inherit.h /usr/include/apr-1.0/apr_perms_set.h \
 /usr/include/apr-1.0/apr_poll.h /usr/include/apr-1.0/apr_network_io.h \
 /usr/include/apr-1.0/apr_pools.h /usr/include/apr-1.0/apr_thread_proc.h \
 member/member.h peer/peer.h ticket/ticket.h
home/home.h:
/usr/include/apr-1.0/apr_hash.h:
/usr/include/apr-1.0/apr_pools.h:
/usr/include/apr-1.0/apr.h:
/usr/include/apr-1.0/apr_errno.h:
/usr/include/apr-1.0/apr_general.h:
/usr/include/apr-1.0/apr_want.h:
/usr/include/apr-1.0/apr_allocator.h:
/usr/include/apr-1.0/apr_thread_mutex.h:
/usr/include/apr-1.0/apr_time.h:
conf/conf.h:
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
member/member.h:
peer/peer.h:
ticket/ticket.h:
