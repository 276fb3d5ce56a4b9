#include "io/loop.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <stdexcept>

namespace bendtide::io {

namespace {

constexpr std::size_t kReadSize = 16 * 1024;  ///< bytes
constexpr std::int64_t kMaxPollMs = 60'000;
constexpr Micros kAcceptWait = seconds(60);        ///< accept() is tried again after this time
constexpr Micros kAcceptRetryDelay = millis(100);  ///< after a failure such as having no free descriptor

/// Parses a numeric IPv4 address with a port, HOST:PORT.
std::optional<sockaddr_in> parse_address(const std::string& address) {
  const auto colon = address.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  sockaddr_in parsed{};
  parsed.sin_family = AF_INET;
  char* end = nullptr;
  const unsigned long port = std::strtoul(address.c_str() + colon + 1, &end, 10);
  if (*end != '\0' || end == address.c_str() + colon + 1 || port > 65535) return std::nullopt;
  parsed.sin_port = htons(static_cast<std::uint16_t>(port));
  if (inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr) != 1) return std::nullopt;
  return parsed;
}

}  // namespace

// ---- loop ----------------------------------------------------------------------------------------

Loop::Loop() : epoll_(epoll_create1(EPOLL_CLOEXEC)), scratch_(kReadSize, '\0') {
  if (epoll_ < 0) throw std::runtime_error("epoll_create1: " + std::string(std::strerror(errno)));
}

Loop::~Loop() { ::close(epoll_); }

Micros Loop::now() const {
  return std::chrono::duration_cast<Micros>(std::chrono::steady_clock::now().time_since_epoch());
}

void Loop::spawn(Task<> task) {
  // The return type of a coroutine that starts at once and destroys its frame when it ends.
  struct DetachedCoroutine {
    struct promise_type {  // NOLINT(readability-identifier-naming): required by the standard
      DetachedCoroutine get_return_object() { return {}; }
      std::suspend_never initial_suspend() noexcept { return {}; }
      std::suspend_never final_suspend() noexcept { return {}; }
      void return_void() {}
      void unhandled_exception() { std::terminate(); }
    };
  };
  [](Loop& loop, Task<> inner) -> DetachedCoroutine {
    try {
      co_await inner;
    } catch (const std::exception& error) {
      if (loop.on_error) loop.on_error(error.what());
    }
  }(*this, std::move(task));
}

void Loop::arm(Waiter& waiter, std::coroutine_handle<> handle, Micros deadline) {
  waiter.handle_ = handle;
  waiter.timed_out_ = false;
  waiter.timer_ = timers_.emplace(deadline, &waiter);
}

void Loop::wake(Waiter& waiter) {
  if (!waiter.is_waiting()) return;
  timers_.erase(waiter.timer_);
  ready_.push_back(std::exchange(waiter.handle_, {}));
}

Task<> Loop::sleep(Micros duration) {
  Waiter waiter;
  co_await wait(waiter, now() + duration);
}

void Loop::add(int fd, Descriptor* descriptor) const {
  epoll_event event{};
  event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  event.data.ptr = descriptor;
  if (epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &event) != 0)
    throw std::runtime_error("epoll_ctl: " + std::string(std::strerror(errno)));
}

void Loop::run() {
  while (running_) {
    resume_ready();
    const Micros turn_started_at = now();
    wake_expired(turn_started_at);
    if (ready_.empty()) poll(turn_started_at);
  }
}

void Loop::resume_ready() {
  while (!ready_.empty()) {
    const std::coroutine_handle<> handle = ready_.front();
    ready_.pop_front();
    handle.resume();
  }
}

void Loop::wake_expired(Micros now) {
  while (!timers_.empty() && timers_.begin()->first <= now) {
    Waiter& waiter = *timers_.begin()->second;
    waiter.timed_out_ = true;
    wake(waiter);
  }
}

void Loop::poll(Micros now) {
  int timeout_ms = -1;
  if (!timers_.empty()) {
    const std::int64_t until_next_ms = (timers_.begin()->first - now).count() / 1000 + 1;
    timeout_ms = static_cast<int>(std::min(until_next_ms, kMaxPollMs));
  }
  std::array<epoll_event, 128> events;
  const int count = epoll_wait(epoll_, events.data(), static_cast<int>(events.size()), timeout_ms);
  for (int i = 0; i < count; ++i) {
    const epoll_event& event = events[static_cast<std::size_t>(i)];
    dispatch(*static_cast<Descriptor*>(event.data.ptr), event.events);
  }
}

void Loop::dispatch(Descriptor& descriptor, std::uint32_t events) {
  if (events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) {
    descriptor.readable = true;
    wake(descriptor.reader);
  }
  if (events & (EPOLLOUT | EPOLLHUP | EPOLLERR)) {
    descriptor.writable = true;
    wake(descriptor.writer);
  }
}

// ---- socket --------------------------------------------------------------------------------------

Socket::Socket(Loop& loop, int fd)
    : loop_(&loop), fd_(fd), descriptor_(std::make_unique<Loop::Descriptor>()) {
  loop.add(fd, descriptor_.get());
}

Socket& Socket::operator=(Socket&& other) noexcept {
  if (this == &other) return *this;
  close();
  loop_ = other.loop_;
  fd_ = std::move(other.fd_);
  descriptor_ = std::move(other.descriptor_);
  return *this;
}

void Socket::close() {
  if (!open()) return;
  ::close(std::exchange(fd_.value, -1));
  descriptor_.reset();
}

Task<bool> Socket::read(std::string& buffer, Micros deadline) {
  for (;;) {
    if (!descriptor_->readable && !co_await loop_->wait(descriptor_->reader, deadline)) co_return false;
    if (descriptor_->reads_stopped) co_return false;
    std::string& scratch = loop_->scratch_;
    const ssize_t n = ::recv(fd_.value, scratch.data(), scratch.size(), 0);
    if (n > 0) {
      buffer.append(scratch, 0, static_cast<std::size_t>(n));
      co_return true;
    }
    if (n == 0) co_return false;
    if (errno == EINTR) continue;
    if (errno != EAGAIN && errno != EWOULDBLOCK) co_return false;
    descriptor_->readable = false;
  }
}

Task<bool> Socket::write(std::string_view bytes, Micros deadline) {
  while (!bytes.empty()) {
    if (!descriptor_->writable && !co_await loop_->wait(descriptor_->writer, deadline)) co_return false;
    const ssize_t n = ::send(fd_.value, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n >= 0) {
      bytes.remove_prefix(static_cast<std::size_t>(n));
    } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
      descriptor_->writable = false;
    } else if (errno != EINTR) {
      co_return false;
    }
  }
  co_return true;
}

void Socket::stop_reading() {
  descriptor_->reads_stopped = true;
  loop_->wake(descriptor_->reader);
}

bool Socket::reusable() const {
  if (!open()) return false;
  char byte = 0;
  const ssize_t n = ::recv(fd_.value, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

Task<Socket> Socket::accept() {
  for (;;) {
    if (!descriptor_->readable) co_await loop_->wait(descriptor_->reader, loop_->now() + kAcceptWait);
    const int fd = ::accept4(fd_.value, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0) {
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      co_return Socket(*loop_, fd);
    }
    if (errno == EAGAIN || errno == EWOULDBLOCK)
      descriptor_->readable = false;
    else if (errno != EINTR && errno != ECONNABORTED)
      co_await loop_->sleep(kAcceptRetryDelay);  // descriptors become free when connections are closed
  }
}

Task<Socket> Socket::connect(Loop& loop, const std::string& address, Micros deadline) {
  const auto parsed = parse_address(address);
  if (!parsed) co_return Socket();
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) co_return Socket();
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  const int result = ::connect(fd, reinterpret_cast<const sockaddr*>(&*parsed), sizeof *parsed);
  const int connect_errno = errno;
  Socket socket(loop, fd);
  if (result == 0) co_return socket;
  if (connect_errno != EINPROGRESS) co_return Socket();
  socket.descriptor_->writable = false;
  if (!co_await loop.wait(socket.descriptor_->writer, deadline)) co_return Socket();
  int error = 0;
  socklen_t size = sizeof error;
  if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) co_return Socket();
  co_return socket;
}

Socket Socket::listen(Loop& loop, const std::string& address, std::size_t backlog) {
  auto fail = [&](const char* operation) {
    throw std::runtime_error(address + ": " + operation + ": " + std::strerror(errno));
  };
  const auto parsed = parse_address(address);
  if (!parsed) throw std::runtime_error(address + ": must be a numeric IPv4 address and a port, HOST:PORT");
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) fail("socket");
  Socket socket(loop, fd);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&*parsed), sizeof *parsed) != 0) fail("bind");
  if (::listen(fd, static_cast<int>(std::min<std::size_t>(backlog, INT_MAX))) != 0) fail("listen");
  return socket;
}

}  // namespace bendtide::io
