// The event loop: epoll, timers, sockets, and the awaitables that coroutines wait on. One thread.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "core/model/time.h"
#include "io/task.h"

namespace bendtide::io {

class Loop;

/// Something a coroutine waits for, until a deadline.
class Waiter {
 public:
  bool waiting() const { return static_cast<bool>(handle_); }
  bool timed_out() const { return timed_out_; }

 private:
  friend class Loop;
  std::coroutine_handle<> handle_;
  std::multimap<Micros, Waiter*>::iterator timer_;
  bool timed_out_ = false;
};

class Loop {
 public:
  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  /// Runs until stopped.
  void run();
  void stop() { running_ = false; }
  Micros now() const;

  /// Starts a coroutine that nobody awaits. What it throws ends it and goes to `on_error`.
  void spawn(Task<> task);
  std::function<void(const std::string&)> on_error;

  struct Wait {
    Loop& loop;
    Waiter& waiter;
    Micros until;
    bool await_ready() const noexcept { return false; }
    void await_suspend(std::coroutine_handle<> h) { loop.arm(waiter, h, until); }
    /// False if the time ran out.
    bool await_resume() const noexcept { return !waiter.timed_out(); }
  };
  Wait wait(Waiter& waiter, Micros until) { return {*this, waiter, until}; }
  /// Wakes the coroutine that waits, if one does.
  void wake(Waiter& waiter);
  Task<> sleep(Micros span);

 private:
  friend class Socket;
  struct Watch {
    Waiter reader, writer;
    bool readable = true, writable = true, stopped = false;
  };
  void arm(Waiter& waiter, std::coroutine_handle<> h, Micros until);
  void add(int fd, Watch* watch) const;

  int epoll_ = -1;
  bool running_ = true;
  std::multimap<Micros, Waiter*> timers_;
  std::deque<std::coroutine_handle<>> ready_;
  std::string scratch_;  ///< what a read lands in first, so that idle connections hold no buffer
};

/// A TCP socket; IPv4 by number.
class Socket {
 public:
  Socket() = default;
  Socket(Loop& loop, int fd);
  Socket(Socket&&) noexcept = default;
  Socket& operator=(Socket&& o) noexcept;
  ~Socket() { close(); }

  bool open() const { return fd_ >= 0; }
  void close();

  /// Appends what arrived to `into`. False at the end, on an error, or when the time ran out.
  Task<bool> read(std::string& into, Micros until);
  Task<bool> write(std::string_view bytes, Micros until);
  /// Ends the read that is under way, and all later ones, as if the other side had closed.
  void stop_reading();
  /// Whether an idle connection is still good for a request: open, and nothing unasked has arrived.
  bool fresh() const;

  Task<Socket> accept();
  static Task<Socket> connect(Loop& loop, const std::string& address, Micros until);
  /// Throws std::runtime_error, naming the address.
  static Socket listen(Loop& loop, const std::string& address, std::size_t backlog);

 private:
  struct Fd {
    int value = -1;
    Fd() = default;
    explicit Fd(int v) : value(v) {}
    Fd(Fd&& o) noexcept : value(std::exchange(o.value, -1)) {}
    Fd& operator=(Fd&& o) noexcept {
      std::swap(value, o.value);
      return *this;
    }
    bool operator>=(int n) const { return value >= n; }
  };
  Loop* loop_ = nullptr;
  Fd fd_;
  std::unique_ptr<Loop::Watch> watch_;
};

}  // namespace bendtide::io
