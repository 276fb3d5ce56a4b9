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

constexpr std::size_t kReadSize = 16 * 1024;
constexpr std::int64_t kLongestPollMs = 60'000;
constexpr Micros kAcceptWait = seconds(60);
constexpr Micros kNoDescriptorPause = millis(100);

std::optional<sockaddr_in> parse_address(const std::string& address) {
  const auto colon = address.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  sockaddr_in out{};
  out.sin_family = AF_INET;
  char* end = nullptr;
  const unsigned long port = std::strtoul(address.c_str() + colon + 1, &end, 10);
  if (*end != '\0' || end == address.c_str() + colon + 1 || port > 65535) return std::nullopt;
  out.sin_port = htons(static_cast<std::uint16_t>(port));
  if (inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr) != 1) return std::nullopt;
  return out;
}

}  // namespace

// ---- loop ----------------------------------------------------------------------------------------

Loop::Loop() : epoll_(epoll_create1(EPOLL_CLOEXEC)), scratch_(kReadSize, '\0') {
  if (epoll_ < 0) throw std::runtime_error("epoll: " + std::string(std::strerror(errno)));
}

Loop::~Loop() { ::close(epoll_); }

Micros Loop::now() const {
  return std::chrono::duration_cast<Micros>(std::chrono::steady_clock::now().time_since_epoch());
}

void Loop::spawn(Task<> task) {
  // The wrapper owns itself from here on: its frame is destroyed when it ends.
  struct Own {
    struct promise_type {  // NOLINT(readability-identifier-naming): the language asks for this name
      Own get_return_object() { return {}; }
      std::suspend_never initial_suspend() noexcept { return {}; }
      std::suspend_never final_suspend() noexcept { return {}; }
      void return_void() {}
      void unhandled_exception() { std::terminate(); }
    };
  };
  [](Loop& loop, Task<> inner) -> Own {
    try {
      co_await inner;
    } catch (const std::exception& e) {
      if (loop.on_error) loop.on_error(e.what());
    }
  }(*this, std::move(task));
}

void Loop::arm(Waiter& waiter, std::coroutine_handle<> handle, Micros until) {
  waiter.handle_ = handle;
  waiter.timed_out_ = false;
  waiter.timer_ = timers_.emplace(until, &waiter);
}

void Loop::wake(Waiter& waiter) {
  if (!waiter.waiting()) return;
  timers_.erase(waiter.timer_);
  ready_.push_back(std::exchange(waiter.handle_, {}));
}

Task<> Loop::sleep(Micros span) {
  Waiter waiter;
  co_await wait(waiter, now() + span);
}

void Loop::add(int fd, Watch* watch) const {
  epoll_event event{};
  event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  event.data.ptr = watch;
  if (epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &event) != 0)
    throw std::runtime_error("epoll: " + std::string(std::strerror(errno)));
}

void Loop::run() {
  while (running_) {
    resume_ready();
    const Micros turn_began = now();
    wake_timed_out(turn_began);
    if (ready_.empty()) poll(turn_began);
  }
}

void Loop::resume_ready() {
  while (!ready_.empty()) {
    const std::coroutine_handle<> handle = ready_.front();
    ready_.pop_front();
    handle.resume();
  }
}

void Loop::wake_timed_out(Micros now) {
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
    timeout_ms = static_cast<int>(std::min(until_next_ms, kLongestPollMs));
  }
  std::array<epoll_event, 128> events;
  const int count = epoll_wait(epoll_, events.data(), static_cast<int>(events.size()), timeout_ms);
  for (int i = 0; i < count; ++i) {
    const epoll_event& event = events[static_cast<std::size_t>(i)];
    dispatch(*static_cast<Watch*>(event.data.ptr), event.events);
  }
}

void Loop::dispatch(Watch& watch, std::uint32_t events) {
  if (events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) {
    watch.readable = true;
    wake(watch.reader);
  }
  if (events & (EPOLLOUT | EPOLLHUP | EPOLLERR)) {
    watch.writable = true;
    wake(watch.writer);
  }
}

// ---- socket --------------------------------------------------------------------------------------

Socket::Socket(Loop& loop, int fd) : loop_(&loop), fd_(fd), watch_(std::make_unique<Loop::Watch>()) {
  loop.add(fd, watch_.get());
}

Socket& Socket::operator=(Socket&& other) noexcept {
  if (this == &other) return *this;
  close();
  loop_ = other.loop_;
  fd_ = std::move(other.fd_);
  watch_ = std::move(other.watch_);
  return *this;
}

void Socket::close() {
  if (!open()) return;
  ::close(std::exchange(fd_.value, -1));
  watch_.reset();
}

Task<bool> Socket::read(std::string& into, Micros until) {
  for (;;) {
    if (!watch_->readable && !co_await loop_->wait(watch_->reader, until)) co_return false;
    if (watch_->stopped) co_return false;
    std::string& scratch = loop_->scratch_;
    const ssize_t n = ::recv(fd_.value, scratch.data(), scratch.size(), 0);
    if (n > 0) {
      into.append(scratch, 0, static_cast<std::size_t>(n));
      co_return true;
    }
    if (n == 0) co_return false;
    if (errno == EINTR) continue;
    if (errno != EAGAIN && errno != EWOULDBLOCK) co_return false;
    watch_->readable = false;
  }
}

Task<bool> Socket::write(std::string_view bytes, Micros until) {
  while (!bytes.empty()) {
    if (!watch_->writable && !co_await loop_->wait(watch_->writer, until)) co_return false;
    const ssize_t n = ::send(fd_.value, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n >= 0) {
      bytes.remove_prefix(static_cast<std::size_t>(n));
    } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
      watch_->writable = false;
    } else if (errno != EINTR) {
      co_return false;
    }
  }
  co_return true;
}

void Socket::stop_reading() {
  watch_->stopped = true;
  loop_->wake(watch_->reader);
}

bool Socket::reusable() const {
  if (!open()) return false;
  char byte = 0;
  const ssize_t n = ::recv(fd_.value, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

Task<Socket> Socket::accept() {
  for (;;) {
    if (!watch_->readable) co_await loop_->wait(watch_->reader, loop_->now() + kAcceptWait);
    const int fd = ::accept4(fd_.value, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0) {
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      co_return Socket(*loop_, fd);
    }
    if (errno == EAGAIN || errno == EWOULDBLOCK)
      watch_->readable = false;
    else if (errno != EINTR && errno != ECONNABORTED)
      co_await loop_->sleep(kNoDescriptorPause);  // until some connections are closed
  }
}

Task<Socket> Socket::connect(Loop& loop, const std::string& address, Micros until) {
  const auto to = parse_address(address);
  if (!to) co_return Socket();
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) co_return Socket();
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  const int result = ::connect(fd, reinterpret_cast<const sockaddr*>(&*to), sizeof *to);
  const int why = errno;
  Socket socket(loop, fd);
  if (result == 0) co_return socket;
  if (why != EINPROGRESS) co_return Socket();
  socket.watch_->writable = false;
  if (!co_await loop.wait(socket.watch_->writer, until)) co_return Socket();
  int error = 0;
  socklen_t size = sizeof error;
  if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) co_return Socket();
  co_return socket;
}

Socket Socket::listen(Loop& loop, const std::string& address, std::size_t backlog) {
  auto fail = [&](const char* what) {
    throw std::runtime_error(address + ": " + what + ": " + std::strerror(errno));
  };
  const auto at = parse_address(address);
  if (!at) throw std::runtime_error(address + ": not an address");
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) fail("socket");
  Socket socket(loop, fd);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&*at), sizeof *at) != 0) fail("bind");
  if (::listen(fd, static_cast<int>(std::min<std::size_t>(backlog, INT_MAX))) != 0) fail("listen");
  return socket;
}

}  // namespace bendtide::io
