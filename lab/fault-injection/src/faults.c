/*
 * A library to be loaded with LD_PRELOAD. It stands between one program and the C library and makes system calls
 * fail in ways that Linux documents, and steps the wall clock. What it does is told by a file that the environment
 * variable FAULTS_CONTROL names: it is mapped, so that whoever writes to the file changes the faults of a process
 * that runs. Its layout is that of `struct control`; `src/lib.rs` writes it.
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

enum point { ACCEPT, SOCKET, CONNECT, RECEIVE, SEND, SHORT_RECEIVE, SHORT_SEND, LOG, OPEN, READ, POINTS };

struct fault {
    /* Of a thousand calls this many fail ... */
    _Atomic uint32_t per_thousand;
    /* ... and besides this many of the next ones. */
    _Atomic uint32_t next;
    /* With this error; for a short transfer the most bytes that are moved. */
    _Atomic int32_t value;
    /* How many have failed. */
    _Atomic uint32_t injected;
};

struct control {
    _Atomic int64_t wall_offset_ns;
    struct fault faults[POINTS];
};

static struct control *control;
static _Atomic uint64_t draws;

__attribute__((constructor)) static void map_control(void) {
    const char *path = getenv("FAULTS_CONTROL");
    int file = path ? open(path, O_RDWR | O_CLOEXEC) : -1;
    if (file < 0)
        return;
    void *mapped = mmap(NULL, sizeof(struct control), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    close(file);
    if (mapped != MAP_FAILED)
        control = mapped;
}

/* A draw below 1000; splitmix64 over a counter, seeded by the process. */
static uint32_t draw(void) {
    uint64_t x = atomic_fetch_add(&draws, 1) * 0x9e3779b97f4a7c15u + (uint64_t)getpid();
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9u;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebu;
    return (uint32_t)((x ^ (x >> 31)) % 1000);
}

/* Whether a call fails at a point. */
static int fails(enum point point) {
    if (!control)
        return 0;
    struct fault *fault = &control->faults[point];
    uint32_t next = atomic_load(&fault->next);
    while (next > 0 && !atomic_compare_exchange_weak(&fault->next, &next, next - 1))
        ;
    uint32_t rate = next > 0 ? 0 : atomic_load(&fault->per_thousand);
    if (next == 0 && (rate == 0 || draw() >= rate))
        return 0;
    atomic_fetch_add(&fault->injected, 1);
    return 1;
}

static int value(enum point point) { return atomic_load(&control->faults[point].value); }

static int fails_with_error(enum point point) {
    if (!fails(point))
        return 0;
    errno = value(point);
    return 1;
}

/* Only connections over TCP are meddled with, not what the program uses to wake itself. */
static int is_tcp(int file) {
    struct sockaddr_storage address;
    socklen_t length = sizeof(address);
    int saved = errno;
    int known = getsockname(file, (struct sockaddr *)&address, &length) == 0;
    errno = saved;
    return known && (address.ss_family == AF_INET || address.ss_family == AF_INET6);
}

static int is_regular(int file) {
    struct stat status;
    return fstat(file, &status) == 0 && S_ISREG(status.st_mode);
}

static size_t shortened(enum point point, size_t length) {
    if (length < 2 || !fails(point))
        return length;
    size_t most = (size_t)value(point);
    return most > 0 && most < length ? most : length;
}

#define REAL(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))

int clock_gettime(clockid_t clock, struct timespec *now) {
    static __typeof__(&clock_gettime) real;
    if (!real)
        real = REAL(clock_gettime);
    int result = real(clock, now);
    if (result == 0 && control && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t offset = atomic_load(&control->wall_offset_ns);
        int64_t nanos = now->tv_nsec + offset % 1000000000;
        now->tv_sec += offset / 1000000000 + (nanos < 0 ? -1 : nanos / 1000000000);
        now->tv_nsec = nanos < 0 ? nanos + 1000000000 : nanos % 1000000000;
    }
    return result;
}

int accept4(int file, struct sockaddr *address, socklen_t *length, int flags) {
    static __typeof__(&accept4) real;
    if (!real)
        real = REAL(accept4);
    return fails_with_error(ACCEPT) ? -1 : real(file, address, length, flags);
}

int socket(int domain, int type, int protocol) {
    static __typeof__(&socket) real;
    if (!real)
        real = REAL(socket);
    if ((domain == AF_INET || domain == AF_INET6) && fails_with_error(SOCKET))
        return -1;
    return real(domain, type, protocol);
}

int connect(int file, const struct sockaddr *address, socklen_t length) {
    static __typeof__(&connect) real;
    if (!real)
        real = REAL(connect);
    return is_tcp(file) && fails_with_error(CONNECT) ? -1 : real(file, address, length);
}

ssize_t recv(int file, void *buffer, size_t length, int flags) {
    static __typeof__(&recv) real;
    if (!real)
        real = REAL(recv);
    if (control && is_tcp(file)) {
        if (fails_with_error(RECEIVE))
            return -1;
        length = shortened(SHORT_RECEIVE, length);
    }
    return real(file, buffer, length, flags);
}

ssize_t send(int file, const void *buffer, size_t length, int flags) {
    static __typeof__(&send) real;
    if (!real)
        real = REAL(send);
    if (control && is_tcp(file)) {
        if (fails_with_error(SEND))
            return -1;
        length = shortened(SHORT_SEND, length);
    }
    return real(file, buffer, length, flags);
}

ssize_t writev(int file, const struct iovec *pieces, int count) {
    static __typeof__(&writev) real;
    if (!real)
        real = REAL(writev);
    if (control && count > 0 && is_tcp(file)) {
        if (fails_with_error(SEND))
            return -1;
        size_t length = shortened(SHORT_SEND, pieces[0].iov_len);
        if (length < pieces[0].iov_len)
            return write(file, pieces[0].iov_base, length);
    }
    return real(file, pieces, count);
}

ssize_t sendmsg(int file, const struct msghdr *message, int flags) {
    static __typeof__(&sendmsg) real;
    if (!real)
        real = REAL(sendmsg);
    if (control && message->msg_iovlen > 0 && is_tcp(file)) {
        if (fails_with_error(SEND))
            return -1;
        size_t length = shortened(SHORT_SEND, message->msg_iov[0].iov_len);
        if (length < message->msg_iov[0].iov_len)
            return send(file, message->msg_iov[0].iov_base, length, flags);
    }
    return real(file, message, flags);
}

ssize_t write(int file, const void *buffer, size_t length) {
    static __typeof__(&write) real;
    if (!real)
        real = REAL(write);
    if (control && file == STDERR_FILENO && fails_with_error(LOG))
        return -1;
    return real(file, buffer, length);
}

ssize_t read(int file, void *buffer, size_t length) {
    static __typeof__(&read) real;
    if (!real)
        real = REAL(read);
    if (control && is_regular(file) && fails_with_error(READ))
        return -1;
    return real(file, buffer, length);
}

int open64(const char *path, int flags, ...) {
    static int (*real)(const char *, int, ...);
    if (!real)
        real = (int (*)(const char *, int, ...))dlsym(RTLD_NEXT, "open64");
    va_list rest;
    va_start(rest, flags);
    mode_t mode = va_arg(rest, mode_t);
    va_end(rest);
    if (control && fails_with_error(OPEN))
        return -1;
    return real(path, flags, mode);
}
