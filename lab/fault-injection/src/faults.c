/*
 * Fault injection by LD_PRELOAD: wraps functions of the C library, so that system calls of one process fail
 * in ways that Linux documents and its wall clock steps. The environment variable FAULTS_CONTROL is the path
 * of a control file that holds the faults. The mapping of the file is shared, so a writer can change the
 * faults of a running process. Its layout is `struct control`; `src/control_file.rs` writes it.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#define NANOSECONDS_PER_SECOND 1000000000

/* Injection points, in the order of `InjectionPoint` in `src/point.rs`. */
enum point { ACCEPT, SOCKET, CONNECT, RECEIVE, SEND, SHORT_RECEIVE, SHORT_SEND, LOG, OPEN, READ, POINTS };

struct fault {
    /* Mean number of failures in 1000 calls. */
    _Atomic uint32_t per_thousand;
    /* How many of the next calls fail. */
    _Atomic uint32_t next_failures;
    /* The errno value, or for a short transfer the maximum number of bytes. */
    _Atomic int32_t value;
    /* Faults injected so far. */
    _Atomic uint32_t injected_count;
};

struct control {
    _Atomic int64_t wall_clock_offset_ns;
    struct fault faults[POINTS];
};

/* NULL without a control file, in which case no faults are injected. */
static struct control *control;
static _Atomic uint64_t draw_count;

__attribute__((constructor)) static void map_control_file(void) {
    const char *path = getenv("FAULTS_CONTROL");
    int fd = path ? open(path, O_RDWR | O_CLOEXEC) : -1;
    if (fd < 0)
        return;
    void *mapped = mmap(NULL, sizeof(struct control), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    close(fd);
    if (mapped != MAP_FAILED)
        control = mapped;
}

/* A pseudo-random number below 1000: splitmix64 over a counter, seeded by the process id. */
static uint32_t draw_per_thousand(void) {
    uint64_t x = atomic_fetch_add(&draw_count, 1) * 0x9e3779b97f4a7c15u + (uint64_t)getpid();
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9u;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebu;
    return (uint32_t)((x ^ (x >> 31)) % 1000);
}

/* Decrements `next_failures` unless it is 0. Returns whether it was above 0. */
static int take_next_failure(struct fault *fault) {
    uint32_t remaining = atomic_load(&fault->next_failures);
    while (remaining > 0 && !atomic_compare_exchange_weak(&fault->next_failures, &remaining, remaining - 1))
        ;
    return remaining > 0;
}

/* Returns whether a call at a point is to fail, and counts the fault if so. */
static int should_fail(enum point point) {
    if (!control)
        return 0;
    struct fault *fault = &control->faults[point];
    if (!take_next_failure(fault)) {
        uint32_t per_thousand = atomic_load(&fault->per_thousand);
        if (per_thousand == 0 || draw_per_thousand() >= per_thousand)
            return 0;
    }
    atomic_fetch_add(&fault->injected_count, 1);
    return 1;
}

static int fault_value(enum point point) { return atomic_load(&control->faults[point].value); }

/* Sets errno and returns 1 if a call at a point is to fail. */
static int inject_error(enum point point) {
    if (!should_fail(point))
        return 0;
    errno = fault_value(point);
    return 1;
}

/* Faults of sockets concern TCP only, not the descriptors that a runtime uses to wake its own threads. */
static int is_tcp(int fd) {
    struct sockaddr_storage address;
    socklen_t length = sizeof(address);
    int saved_errno = errno;
    int known = getsockname(fd, (struct sockaddr *)&address, &length) == 0;
    errno = saved_errno;
    return known && (address.ss_family == AF_INET || address.ss_family == AF_INET6);
}

static int is_regular_file(int fd) {
    struct stat status;
    return fstat(fd, &status) == 0 && S_ISREG(status.st_mode);
}

/* Returns the length to transfer, which is below the requested one if a short transfer is to be injected. */
static size_t transfer_length(enum point point, size_t length) {
    if (length < 2 || !should_fail(point))
        return length;
    size_t max = (size_t)fault_value(point);
    return max > 0 && max < length ? max : length;
}

/* Declares `real`, the wrapped function of the C library, and looks it up on the first call. */
#define REAL(name)                                       \
    static __typeof__(&name) real;                       \
    if (!real)                                           \
        real = (__typeof__(&name))dlsym(RTLD_NEXT, #name)

int clock_gettime(clockid_t clock, struct timespec *now) {
    REAL(clock_gettime);
    int result = real(clock, now);
    if (result == 0 && control && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t offset = atomic_load(&control->wall_clock_offset_ns);
        int64_t nanoseconds = now->tv_nsec + offset % NANOSECONDS_PER_SECOND;
        int64_t carry = nanoseconds < 0 ? -1 : nanoseconds / NANOSECONDS_PER_SECOND;
        now->tv_sec += offset / NANOSECONDS_PER_SECOND + carry;
        now->tv_nsec = nanoseconds - carry * NANOSECONDS_PER_SECOND;
    }
    return result;
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    REAL(accept4);
    return inject_error(ACCEPT) ? -1 : real(fd, address, length, flags);
}

int socket(int domain, int type, int protocol) {
    REAL(socket);
    if ((domain == AF_INET || domain == AF_INET6) && inject_error(SOCKET))
        return -1;
    return real(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    REAL(connect);
    return is_tcp(fd) && inject_error(CONNECT) ? -1 : real(fd, address, length);
}

ssize_t recv(int fd, void *buffer, size_t length, int flags) {
    REAL(recv);
    if (control && is_tcp(fd)) {
        if (inject_error(RECEIVE))
            return -1;
        length = transfer_length(SHORT_RECEIVE, length);
    }
    return real(fd, buffer, length, flags);
}

ssize_t send(int fd, const void *buffer, size_t length, int flags) {
    REAL(send);
    if (control && is_tcp(fd)) {
        if (inject_error(SEND))
            return -1;
        length = transfer_length(SHORT_SEND, length);
    }
    return real(fd, buffer, length, flags);
}

/* A short transfer of several buffers transfers a part of the first one. */

ssize_t writev(int fd, const struct iovec *buffers, int count) {
    REAL(writev);
    if (control && count > 0 && is_tcp(fd)) {
        if (inject_error(SEND))
            return -1;
        size_t length = transfer_length(SHORT_SEND, buffers[0].iov_len);
        if (length < buffers[0].iov_len)
            return write(fd, buffers[0].iov_base, length);
    }
    return real(fd, buffers, count);
}

ssize_t sendmsg(int fd, const struct msghdr *message, int flags) {
    REAL(sendmsg);
    if (control && message->msg_iovlen > 0 && is_tcp(fd)) {
        if (inject_error(SEND))
            return -1;
        size_t length = transfer_length(SHORT_SEND, message->msg_iov[0].iov_len);
        if (length < message->msg_iov[0].iov_len)
            return send(fd, message->msg_iov[0].iov_base, length, flags);
    }
    return real(fd, message, flags);
}

ssize_t write(int fd, const void *buffer, size_t length) {
    REAL(write);
    if (control && fd == STDERR_FILENO && inject_error(LOG))
        return -1;
    return real(fd, buffer, length);
}

ssize_t read(int fd, void *buffer, size_t length) {
    REAL(read);
    if (control && is_regular_file(fd) && inject_error(READ))
        return -1;
    return real(fd, buffer, length);
}

int open64(const char *path, int flags, ...) {
    REAL(open64);
    va_list arguments;
    va_start(arguments, flags);
    mode_t mode = va_arg(arguments, mode_t);
    va_end(arguments);
    if (control && inject_error(OPEN))
        return -1;
    return real(path, flags, mode);
}
