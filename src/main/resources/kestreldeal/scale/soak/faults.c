/*
 * Fault injection library for the soak test. It is preloaded into a sender process (LD_PRELOAD) and replaces functions
 * of the C library, so that they fail in ways that Linux documents. No other process is affected.
 *
 * The controls are in a memory-mapped file, which the test changes while the sender runs: eleven 64-bit integers in
 * native byte order, in the order of the enum below. All but the times and the seed are rates per million calls.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <sys/types.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

/* The Java enum FaultLibrary.Control has the same constants in the same order. */
enum control {
    WALL_STEP_MS, ACCEPT_FAILS, CONNECT_FAILS, SOCKET_FAILS, STATE_FAILS, SHORT_TRANSFERS, INTERRUPTED_WAITS, HOLD_UPS,
    HOLD_UP_MOST_MS, READ_FAILS, SEED, CONTROL_COUNT
};

#define MAX_DESCRIPTORS 4096

static const int64_t all_off[CONTROL_COUNT];
static volatile const int64_t *control = all_off;
/* Path of the state directory (GW_STATE) with a slash at its end; empty if it is not set. */
static char state_prefix[512];
/* By descriptor: whether it is a file in the state directory. */
static char is_state_file[MAX_DESCRIPTORS];
/* By descriptor: whether the last write was cut short as a fault, so that the next one fails. */
static char has_torn_write[MAX_DESCRIPTORS];
static __thread uint64_t random_state;

/* Opens and closes the file with raw system calls, because open and close are replaced below. */
__attribute__((constructor)) static void map_control_file(void)
{
    const char *directory = getenv("GW_STATE");
    const char *file = getenv("FAULTS_CONTROL");
    if (directory != NULL) {
        snprintf(state_prefix, sizeof state_prefix, "%s/", directory);
    }
    if (file == NULL) {
        return;
    }
    int descriptor = (int) syscall(SYS_openat, AT_FDCWD, file, O_RDONLY | O_CLOEXEC, 0);
    if (descriptor < 0) {
        return;
    }
    void *mapped = mmap(NULL, CONTROL_COUNT * sizeof(int64_t), PROT_READ, MAP_SHARED, descriptor, 0);
    if (mapped != MAP_FAILED) {
        control = mapped;
    }
    syscall(SYS_close, descriptor);
}

/* Defines "real" as the C library's function of that name, which this library replaces. */
#define REAL(name) \
    static __typeof__(&name) real; \
    if (real == NULL) real = (__typeof__(&name)) dlsym(RTLD_NEXT, #name)

/* A xorshift generator for each thread, which is seeded from the control file and the thread id. */
static uint64_t next_random(void)
{
    if (random_state == 0) {
        random_state = (uint64_t) control[SEED] * 0x9E3779B97F4A7C15u + (uint64_t) syscall(SYS_gettid) + 1;
    }
    random_state ^= random_state << 13;
    random_state ^= random_state >> 7;
    random_state ^= random_state << 17;
    return random_state;
}

/* Decides at random, at the rate in the control file, whether this call is faulty. */
static int happens(enum control selected)
{
    int64_t rate = control[selected];
    return rate > 0 && (int64_t) (next_random() % 1000000) < rate;
}

/* Sets errno to one of the errors, and returns -1. */
static int fail_with_one_of(const int *errors, int count)
{
    errno = errors[next_random() % (uint64_t) count];
    return -1;
}

/* Blocks for a random time, at the rate HOLD_UPS. */
static void delay_at_random(void)
{
    if (happens(HOLD_UPS)) {
        uint64_t microseconds = next_random() % (uint64_t) (control[HOLD_UP_MOST_MS] * 1000 + 1);
        struct timespec delay = {(time_t) (microseconds / 1000000), (long) (microseconds % 1000000) * 1000};
        nanosleep(&delay, NULL);
    }
}

/* ---- clocks ---- */

int clock_gettime(clockid_t clock, struct timespec *time)
{
    REAL(clock_gettime);
    int result = real(clock, time);
    if (result == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t step = control[WALL_STEP_MS];
        time->tv_sec += step / 1000;
        time->tv_nsec += (step % 1000) * 1000000;
        if (time->tv_nsec < 0) {
            time->tv_nsec += 1000000000;
            time->tv_sec--;
        } else if (time->tv_nsec >= 1000000000) {
            time->tv_nsec -= 1000000000;
            time->tv_sec++;
        }
    }
    return result;
}

int gettimeofday(struct timeval *restrict time, void *restrict zone)
{
    (void) zone;
    struct timespec now;
    int result = clock_gettime(CLOCK_REALTIME, &now);
    time->tv_sec = now.tv_sec;
    time->tv_usec = now.tv_nsec / 1000;
    return result;
}

time_t time(time_t *result)
{
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (result != NULL) {
        *result = now.tv_sec;
    }
    return now.tv_sec;
}

/* ---- sockets ---- */

int accept(int descriptor, struct sockaddr *restrict address, socklen_t *restrict length)
{
    static const int errors[] = {ENFILE, ENOBUFS, ECONNABORTED, ENOMEM};
    REAL(accept);
    return happens(ACCEPT_FAILS) ? fail_with_one_of(errors, 4) : real(descriptor, address, length);
}

int accept4(int descriptor, struct sockaddr *restrict address, socklen_t *restrict length, int flags)
{
    static const int errors[] = {ENFILE, ENOBUFS, ECONNABORTED, ENOMEM};
    REAL(accept4);
    return happens(ACCEPT_FAILS) ? fail_with_one_of(errors, 4) : real(descriptor, address, length, flags);
}

int connect(int descriptor, const struct sockaddr *address, socklen_t length)
{
    static const int errors[] = {EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EHOSTUNREACH};
    REAL(connect);
    return happens(CONNECT_FAILS) ? fail_with_one_of(errors, 4) : real(descriptor, address, length);
}

int socket(int family, int type, int protocol)
{
    static const int errors[] = {ENFILE, ENOBUFS};
    REAL(socket);
    return happens(SOCKET_FAILS) ? fail_with_one_of(errors, 2) : real(family, type, protocol);
}

static int is_socket(int descriptor)
{
    struct stat status;
    return fstat(descriptor, &status) == 0 && S_ISSOCK(status.st_mode);
}

/* The number of bytes to read or write: all, or fewer if a short transfer on a socket is to occur. */
static size_t transfer_length(int descriptor, size_t length)
{
    if (length > 1 && control[SHORT_TRANSFERS] > 0 && is_socket(descriptor) && happens(SHORT_TRANSFERS)) {
        return 1 + next_random() % (length - 1);
    }
    return length;
}

ssize_t read(int descriptor, void *bytes, size_t length)
{
    static const int errors[] = {ETIMEDOUT, EHOSTUNREACH, ECONNRESET};
    REAL(read);
    if (control[READ_FAILS] > 0 && is_socket(descriptor) && happens(READ_FAILS)) {
        return fail_with_one_of(errors, 3);
    }
    return real(descriptor, bytes, transfer_length(descriptor, length));
}

/* ---- writes, to sockets and to the state directory ---- */

static int is_state_descriptor(int descriptor)
{
    return descriptor >= 0 && descriptor < MAX_DESCRIPTORS && is_state_file[descriptor];
}

/* Returns -1 with errno set if a call on the state directory is to fail, else 0. */
static int state_call_fails(void)
{
    static const int errors[] = {ENOSPC, EIO};
    return happens(STATE_FAILS) ? fail_with_one_of(errors, 2) : 0;
}

/*
 * The number of bytes to write to a file in the state directory: all, or half of them for a torn write. The write after
 * a torn one fails: the result is -1 with errno set.
 */
static ssize_t state_write_length(int descriptor, size_t length)
{
    if (has_torn_write[descriptor]) {
        has_torn_write[descriptor] = 0;
        errno = EIO;
        return -1;
    }
    if (!happens(STATE_FAILS)) {
        return (ssize_t) length;
    }
    if (length < 2) {
        errno = ENOSPC;
        return -1;
    }
    has_torn_write[descriptor] = 1;
    return (ssize_t) (length / 2);
}

ssize_t write(int descriptor, const void *bytes, size_t length)
{
    REAL(write);
    if (is_state_descriptor(descriptor)) {
        ssize_t length_to_write = state_write_length(descriptor, length);
        return length_to_write < 0 ? length_to_write : real(descriptor, bytes, (size_t) length_to_write);
    }
    delay_at_random();
    return real(descriptor, bytes, transfer_length(descriptor, length));
}

ssize_t pwrite64(int descriptor, const void *bytes, size_t length, off64_t offset)
{
    REAL(pwrite64);
    if (is_state_descriptor(descriptor)) {
        ssize_t length_to_write = state_write_length(descriptor, length);
        return length_to_write < 0 ? length_to_write : real(descriptor, bytes, (size_t) length_to_write, offset);
    }
    return real(descriptor, bytes, length, offset);
}

ssize_t writev(int descriptor, const struct iovec *buffers, int count)
{
    REAL(writev);
    delay_at_random();
    if (count > 1 && control[SHORT_TRANSFERS] > 0 && is_socket(descriptor) && happens(SHORT_TRANSFERS)) {
        return real(descriptor, buffers, 1);
    }
    return real(descriptor, buffers, count);
}

/* ---- files in the state directory ---- */

static int is_state_path(const char *path)
{
    return state_prefix[0] != 0 && path != NULL && strncmp(path, state_prefix, strlen(state_prefix)) == 0;
}

/* Records whether a new descriptor is a file in the state directory, and returns it. */
static int record_opened(int descriptor, const char *path)
{
    if (descriptor >= 0 && descriptor < MAX_DESCRIPTORS) {
        is_state_file[descriptor] = (char) is_state_path(path);
        has_torn_write[descriptor] = 0;
    }
    return descriptor;
}

/* Defines a replacement for open or open64, which differ only in their name. */
#define DEFINE_OPEN(name) \
    int name(const char *path, int flags, ...) \
    { \
        REAL(name); \
        va_list arguments; \
        va_start(arguments, flags); \
        mode_t mode = (flags & (O_CREAT | O_TMPFILE)) != 0 ? va_arg(arguments, mode_t) : 0; \
        va_end(arguments); \
        if (is_state_path(path) && state_call_fails() != 0) { \
            return -1; \
        } \
        return record_opened(real(path, flags, mode), path); \
    }

DEFINE_OPEN(open)
DEFINE_OPEN(open64)

int ftruncate64(int descriptor, off64_t length)
{
    REAL(ftruncate64);
    return is_state_descriptor(descriptor) && state_call_fails() != 0 ? -1 : real(descriptor, length);
}

int rename(const char *from, const char *to)
{
    REAL(rename);
    return is_state_path(to) && state_call_fails() != 0 ? -1 : real(from, to);
}

int close(int descriptor)
{
    REAL(close);
    if (descriptor >= 0 && descriptor < MAX_DESCRIPTORS) {
        is_state_file[descriptor] = 0;
    }
    return real(descriptor);
}

/* ---- waits ---- */

int epoll_wait(int descriptor, struct epoll_event *events, int max_events, int timeout)
{
    REAL(epoll_wait);
    if (happens(INTERRUPTED_WAITS)) {
        errno = EINTR;
        return -1;
    }
    return real(descriptor, events, max_events, timeout);
}
