/* Makes system calls of the process that it is loaded into fail in ways that Linux documents (LD_PRELOAD).
 *
 * Built and configured by src/system_faults.rs, for tests alone. Each fault comes on every n-th call of its kind,
 * so that a play can be repeated; n is read from the environment, and 0 or nothing turns the fault off:
 *
 *   ASHTIDE_FAULT_ACCEPT          accept fails for a moment, with these errors in turn; the connection stays queued
 *   ASHTIDE_FAULT_CONNECT         connect to an address of IPv4 fails on this machine, with these errors in turn
 *   ASHTIDE_FAULT_SOCKET          no socket of IPv4 can be had
 *   ASHTIDE_FAULT_SHORT           a read or write of a socket moves one byte
 *   ASHTIDE_FAULT_INTERRUPT       a wait for events is interrupted (EINTR)
 *   ASHTIDE_FAULT_DISK            a write, sync, or rename of a file fails (ENOSPC, EIO)
 *   ASHTIDE_FAULT_CLOCK_STEP_MS   the wall clock is off by so many milliseconds (signed)...
 *   ASHTIDE_FAULT_CLOCK_AFTER_MS  ...from so long after the start on
 *   ASHTIDE_FAULT_COUNTS          a file in which the faults are counted: 64-bit numbers in the order of enum kind
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum kind { ACCEPT, CONNECT, SOCKET, SHORT, INTERRUPT, DISK, CLOCK, KINDS };

static const char *const names[] = {
    "ASHTIDE_FAULT_ACCEPT", "ASHTIDE_FAULT_CONNECT",   "ASHTIDE_FAULT_SOCKET",
    "ASHTIDE_FAULT_SHORT",  "ASHTIDE_FAULT_INTERRUPT", "ASHTIDE_FAULT_DISK",
};
static const int accept_errors[] = {ECONNABORTED, ENOBUFS, ENFILE, EINTR, ENETDOWN, EPROTO, EPERM};
static const int connect_errors[] = {EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EINTR, EAGAIN};
static const int socket_errors[] = {ENFILE, ENOBUFS, EMFILE, ENOMEM};
static const int disk_errors[] = {ENOSPC, EIO};

static uint64_t every[KINDS], calls[KINDS], own_counts[KINDS];
static uint64_t *counts = own_counts;
static int64_t step_ns, after_ns;
static struct timespec started;

#define REAL(name) ((typeof(&name))dlsym(RTLD_NEXT, #name))
#define IN_TURN(errors) errors[(turn - 1) % (sizeof(errors) / sizeof(*(errors)))]

static int64_t nanoseconds(const struct timespec *time) { return time->tv_sec * 1000000000LL + time->tv_nsec; }

static int64_t milliseconds_of(const char *name) {
  const char *text = getenv(name);
  return text ? atoll(text) * 1000000LL : 0;
}

__attribute__((constructor)) static void start(void) {
  for (int kind = 0; kind < CLOCK; kind++) {
    const char *text = getenv(names[kind]);
    every[kind] = text ? strtoull(text, NULL, 10) : 0;
  }
  step_ns = milliseconds_of("ASHTIDE_FAULT_CLOCK_STEP_MS");
  after_ns = milliseconds_of("ASHTIDE_FAULT_CLOCK_AFTER_MS");
  REAL(clock_gettime)(CLOCK_MONOTONIC, &started);
  const char *path = getenv("ASHTIDE_FAULT_COUNTS");
  int file = path ? REAL(open)(path, O_RDWR | O_CREAT | O_CLOEXEC, 0600) : -1;
  if (file >= 0 && ftruncate(file, sizeof own_counts) == 0) {
    void *shared = mmap(NULL, sizeof own_counts, PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    if (shared != MAP_FAILED) counts = shared;
  }
  if (file >= 0) close(file);
}

static void count(enum kind kind) { __atomic_add_fetch(&counts[kind], 1, __ATOMIC_RELAXED); }

/* The number of this fault, from 1, where this call of its kind is to fail; else 0. */
static uint64_t due(enum kind kind) {
  if (every[kind] == 0) return 0;
  uint64_t call = __atomic_add_fetch(&calls[kind], 1, __ATOMIC_RELAXED);
  if (call % every[kind] != 0) return 0;
  count(kind);
  return call / every[kind];
}

int accept4(int socket, struct sockaddr *address, socklen_t *length, int flags) {
  uint64_t turn = due(ACCEPT);
  if (turn) return errno = IN_TURN(accept_errors), -1;
  return REAL(accept4)(socket, address, length, flags);
}

int accept(int socket, struct sockaddr *address, socklen_t *length) {
  uint64_t turn = due(ACCEPT);
  if (turn) return errno = IN_TURN(accept_errors), -1;
  return REAL(accept)(socket, address, length);
}

int connect(int socket, const struct sockaddr *address, socklen_t length) {
  uint64_t turn = address->sa_family == AF_INET ? due(CONNECT) : 0;
  if (turn) return errno = IN_TURN(connect_errors), -1;
  return REAL(connect)(socket, address, length);
}

int socket(int domain, int type, int protocol) {
  uint64_t turn = domain == AF_INET ? due(SOCKET) : 0;
  if (turn) return errno = IN_TURN(socket_errors), -1;
  return REAL(socket)(domain, type, protocol);
}

static size_t shortened(size_t length) { return length > 1 && due(SHORT) ? 1 : length; }

ssize_t recv(int socket, void *buffer, size_t length, int flags) {
  return REAL(recv)(socket, buffer, shortened(length), flags);
}

ssize_t send(int socket, const void *buffer, size_t length, int flags) {
  return REAL(send)(socket, buffer, shortened(length), flags);
}

static int is_socket(int descriptor) {
  struct stat seen;
  return fstat(descriptor, &seen) == 0 && S_ISSOCK(seen.st_mode);
}

ssize_t readv(int descriptor, const struct iovec *parts, int number) {
  if (number > 0 && is_socket(descriptor) && shortened(parts[0].iov_len) != parts[0].iov_len)
    return REAL(recv)(descriptor, parts[0].iov_base, 1, 0);
  return REAL(readv)(descriptor, parts, number);
}

ssize_t writev(int descriptor, const struct iovec *parts, int number) {
  if (number > 0 && is_socket(descriptor) && shortened(parts[0].iov_len) != parts[0].iov_len)
    return REAL(send)(descriptor, parts[0].iov_base, 1, MSG_NOSIGNAL);
  return REAL(writev)(descriptor, parts, number);
}

int epoll_wait(int epoll, struct epoll_event *events, int number, int timeout) {
  if (due(INTERRUPT)) return errno = EINTR, -1;
  return REAL(epoll_wait)(epoll, events, number, timeout);
}

static int is_file(int descriptor) {
  struct stat seen;
  return fstat(descriptor, &seen) == 0 && S_ISREG(seen.st_mode);
}

ssize_t write(int descriptor, const void *buffer, size_t length) {
  uint64_t turn = is_file(descriptor) ? due(DISK) : 0;
  if (turn) return errno = IN_TURN(disk_errors), -1;
  return REAL(write)(descriptor, buffer, length);
}

int fsync(int descriptor) {
  uint64_t turn = due(DISK);
  if (turn) return errno = IN_TURN(disk_errors), -1;
  return REAL(fsync)(descriptor);
}

int rename(const char *from, const char *to) {
  uint64_t turn = due(DISK);
  if (turn) return errno = IN_TURN(disk_errors), -1;
  return REAL(rename)(from, to);
}

int clock_gettime(clockid_t clock, struct timespec *time) {
  int result = REAL(clock_gettime)(clock, time);
  if (result != 0 || clock != CLOCK_REALTIME || step_ns == 0) return result;
  struct timespec now;
  REAL(clock_gettime)(CLOCK_MONOTONIC, &now);
  if (nanoseconds(&now) - nanoseconds(&started) < after_ns) return result;
  int64_t wall = nanoseconds(time) + step_ns;
  time->tv_sec = wall / 1000000000LL;
  time->tv_nsec = wall % 1000000000LL;
  count(CLOCK);
  return 0;
}
