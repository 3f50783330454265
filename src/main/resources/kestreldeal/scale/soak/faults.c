/*
 * Fault injection for the soak test: preloaded into one sender, it makes system calls fail as Linux documents that they
 * may. Rates and the step of the wall clock lie in a small file that is mapped, so that the test switches them while the
 * sender runs: eleven 64-bit numbers, see the enum. All rates are calls in a million. Nothing but the process that it is
 * preloaded into is touched.
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

enum control {
    WALL_STEP_MS, ACCEPT_FAILS, CONNECT_FAILS, SOCKET_FAILS, STATE_FAILS, SHORT_TRANSFERS, INTERRUPTED_WAITS, HOLD_UPS,
    HOLD_UP_MOST_MS, READ_FAILS, SEED, CONTROLS
};

#define MOST_DESCRIPTORS 4096

static const int64_t none[CONTROLS];
static volatile const int64_t *control = none;
static char state_folder[512];
/* Whether a descriptor is a file of the state folder, and whether its next write is the rest of a torn one. */
static char is_state[MOST_DESCRIPTORS];
static char is_torn[MOST_DESCRIPTORS];
static __thread uint64_t random_state;

__attribute__((constructor)) static void begin(void)
{
    const char *folder = getenv("GW_STATE");
    const char *file = getenv("FAULTS_CONTROL");
    if (folder != NULL) {
        snprintf(state_folder, sizeof state_folder, "%s/", folder);
    }
    if (file == NULL) {
        return;
    }
    int descriptor = (int) syscall(SYS_openat, AT_FDCWD, file, O_RDONLY | O_CLOEXEC, 0);
    if (descriptor < 0) {
        return;
    }
    void *mapped = mmap(NULL, CONTROLS * sizeof(int64_t), PROT_READ, MAP_SHARED, descriptor, 0);
    if (mapped != MAP_FAILED) {
        control = mapped;
    }
    syscall(SYS_close, descriptor);
}

/* The next function of that name, which is the system's. */
#define REAL(name) \
    static __typeof__(&name) real; \
    if (real == NULL) real = (__typeof__(&name)) dlsym(RTLD_NEXT, #name)

static uint64_t random_number(void)
{
    if (random_state == 0) {
        random_state = (uint64_t) control[SEED] * 0x9E3779B97F4A7C15u + (uint64_t) syscall(SYS_gettid) + 1;
    }
    random_state ^= random_state << 13;
    random_state ^= random_state >> 7;
    random_state ^= random_state << 17;
    return random_state;
}

static int happens(enum control which)
{
    int64_t rate = control[which];
    return rate > 0 && (int64_t) (random_number() % 1000000) < rate;
}

static int one_of(const int *errors, int count)
{
    errno = errors[random_number() % (uint64_t) count];
    return -1;
}

static void hold_up(void)
{
    if (happens(HOLD_UPS)) {
        uint64_t microseconds = random_number() % (uint64_t) (control[HOLD_UP_MOST_MS] * 1000 + 1);
        struct timespec pause = {(time_t) (microseconds / 1000000), (long) (microseconds % 1000000) * 1000};
        nanosleep(&pause, NULL);
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

time_t time(time_t *where)
{
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (where != NULL) {
        *where = now.tv_sec;
    }
    return now.tv_sec;
}

/* ---- sockets ---- */

int accept(int descriptor, struct sockaddr *restrict address, socklen_t *restrict length)
{
    static const int errors[] = {ENFILE, ENOBUFS, ECONNABORTED, ENOMEM};
    REAL(accept);
    return happens(ACCEPT_FAILS) ? one_of(errors, 4) : real(descriptor, address, length);
}

int accept4(int descriptor, struct sockaddr *restrict address, socklen_t *restrict length, int flags)
{
    static const int errors[] = {ENFILE, ENOBUFS, ECONNABORTED, ENOMEM};
    REAL(accept4);
    return happens(ACCEPT_FAILS) ? one_of(errors, 4) : real(descriptor, address, length, flags);
}

int connect(int descriptor, const struct sockaddr *address, socklen_t length)
{
    static const int errors[] = {EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EHOSTUNREACH};
    REAL(connect);
    return happens(CONNECT_FAILS) ? one_of(errors, 4) : real(descriptor, address, length);
}

int socket(int family, int type, int protocol)
{
    static const int errors[] = {ENFILE, ENOBUFS};
    REAL(socket);
    return happens(SOCKET_FAILS) ? one_of(errors, 2) : real(family, type, protocol);
}

static int is_socket(int descriptor)
{
    struct stat status;
    return fstat(descriptor, &status) == 0 && S_ISSOCK(status.st_mode);
}

static size_t shortened(int descriptor, size_t length)
{
    if (length > 1 && control[SHORT_TRANSFERS] > 0 && is_socket(descriptor) && happens(SHORT_TRANSFERS)) {
        return 1 + random_number() % (length - 1);
    }
    return length;
}

ssize_t read(int descriptor, void *bytes, size_t length)
{
    static const int errors[] = {ETIMEDOUT, EHOSTUNREACH, ECONNRESET};
    REAL(read);
    if (control[READ_FAILS] > 0 && is_socket(descriptor) && happens(READ_FAILS)) {
        return one_of(errors, 3);
    }
    return real(descriptor, bytes, shortened(descriptor, length));
}

/* ---- writes, to sockets and to the state folder ---- */

static int is_in_state(int descriptor)
{
    return descriptor >= 0 && descriptor < MOST_DESCRIPTORS && is_state[descriptor];
}

static int fails_state(void)
{
    static const int errors[] = {ENOSPC, EIO};
    return happens(STATE_FAILS) ? one_of(errors, 2) : 0;
}

/* How much of a write to the state folder is done: half of it at first, then nothing, or all. */
static ssize_t state_share(int descriptor, size_t length)
{
    if (is_torn[descriptor]) {
        is_torn[descriptor] = 0;
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
    is_torn[descriptor] = 1;
    return (ssize_t) (length / 2);
}

ssize_t write(int descriptor, const void *bytes, size_t length)
{
    REAL(write);
    if (is_in_state(descriptor)) {
        ssize_t share = state_share(descriptor, length);
        return share < 0 ? share : real(descriptor, bytes, (size_t) share);
    }
    hold_up();
    return real(descriptor, bytes, shortened(descriptor, length));
}

ssize_t pwrite64(int descriptor, const void *bytes, size_t length, off64_t at)
{
    REAL(pwrite64);
    if (is_in_state(descriptor)) {
        ssize_t share = state_share(descriptor, length);
        return share < 0 ? share : real(descriptor, bytes, (size_t) share, at);
    }
    return real(descriptor, bytes, length, at);
}

ssize_t writev(int descriptor, const struct iovec *parts, int count)
{
    REAL(writev);
    hold_up();
    if (count > 1 && control[SHORT_TRANSFERS] > 0 && is_socket(descriptor) && happens(SHORT_TRANSFERS)) {
        return real(descriptor, parts, 1);
    }
    return real(descriptor, parts, count);
}

/* ---- the state folder's files ---- */

static int is_state_path(const char *path)
{
    return state_folder[0] != 0 && path != NULL && strncmp(path, state_folder, strlen(state_folder)) == 0;
}

static int opened(int descriptor, const char *path)
{
    if (descriptor >= 0 && descriptor < MOST_DESCRIPTORS) {
        is_state[descriptor] = (char) is_state_path(path);
        is_torn[descriptor] = 0;
    }
    return descriptor;
}

#define OPEN(name) \
    int name(const char *path, int flags, ...) \
    { \
        REAL(name); \
        va_list rest; \
        va_start(rest, flags); \
        mode_t mode = (flags & (O_CREAT | O_TMPFILE)) != 0 ? va_arg(rest, mode_t) : 0; \
        va_end(rest); \
        if (is_state_path(path) && fails_state() != 0) { \
            return -1; \
        } \
        return opened(real(path, flags, mode), path); \
    }

OPEN(open)
OPEN(open64)

int ftruncate64(int descriptor, off64_t length)
{
    REAL(ftruncate64);
    return is_in_state(descriptor) && fails_state() != 0 ? -1 : real(descriptor, length);
}

int rename(const char *from, const char *to)
{
    REAL(rename);
    return is_state_path(to) && fails_state() != 0 ? -1 : real(from, to);
}

int close(int descriptor)
{
    REAL(close);
    if (descriptor >= 0 && descriptor < MOST_DESCRIPTORS) {
        is_state[descriptor] = 0;
    }
    return real(descriptor);
}

/* ---- waits ---- */

int epoll_wait(int descriptor, struct epoll_event *events, int most, int timeout)
{
    REAL(epoll_wait);
    if (happens(INTERRUPTED_WAITS)) {
        errno = EINTR;
        return -1;
    }
    return real(descriptor, events, most, timeout);
}
