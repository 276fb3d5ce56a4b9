// The event loop: epoll, timers, sockets, and the awaitables that coroutines wait on.
//
// One thread. Coroutines are resumed by the loop alone, in the order in which they were woken, never from
// within wake(). All instants are of the steady clock (Loop::now).
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

/// Something that one coroutine at a time waits for, until a deadline. It stays where it is while it is
/// waited for, as the loop refers to it, and outlives the wait.
class Waiter {
 public:
  /// Whether a coroutine waits.
  bool waiting() const { return static_cast<bool>(handle_); }
  /// Whether the last wait ended by its deadline.
  bool timed_out() const { return timed_out_; }

 private:
  friend class Loop;
  std::coroutine_handle<> handle_;  ///< the coroutine that waits
  std::multimap<Micros, Waiter*>::iterator timer_;
  bool timed_out_ = false;
};

/// Sockets, waiters and spawned coroutines refer to the loop and must not be used after it.
class Loop {
 public:
  /// Throws std::runtime_error if the system has no epoll instance left.
  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  /// Runs until stopped. Coroutines that still wait then are not resumed any more.
  void run();
  /// Takes effect at the end of the current turn.
  void stop() { running_ = false; }
  /// The steady clock.
  Micros now() const;

  /// Starts a coroutine that nobody awaits: it runs at once, until it first waits, and its frame is destroyed
  /// when it ends. An exception ends it and goes to `on_error`.
  void spawn(Task<> task);
  std::function<void(const std::string& what)> on_error;

  /// The awaitable of wait().
  struct Wait {
    Loop& loop;
    Waiter& waiter;
    Micros until;
    bool await_ready() const noexcept { return false; }
    void await_suspend(std::coroutine_handle<> handle) { loop.arm(waiter, handle, until); }
    /// False if the time ran out.
    bool await_resume() const noexcept { return !waiter.timed_out(); }
  };
  /// Suspends until the waiter is woken (true) or `until` has passed (false), whichever the loop sees first.
  [[nodiscard]] Wait wait(Waiter& waiter, Micros until) { return {*this, waiter, until}; }
  /// Lets the loop resume the coroutine that waits, if one does. A wake while none waits is not remembered.
  void wake(Waiter& waiter);
  Task<> sleep(Micros span);

 private:
  friend class Socket;
  /// What is known of a descriptor. Edge-triggered: readable and writable hold until a call would block.
  struct Watch {
    Waiter reader;
    Waiter writer;
    bool readable = true;
    bool writable = true;
    bool stopped = false;  ///< Socket::stop_reading was called
  };
  void arm(Waiter& waiter, std::coroutine_handle<> handle, Micros until);
  /// `watch` has to live until the descriptor is closed.
  void add(int fd, Watch* watch) const;
  void resume_ready();
  void wake_timed_out(Micros now);
  /// Waits for events of descriptors, but not longer than for the next timer.
  void poll(Micros now);
  void dispatch(Watch& watch, std::uint32_t events);

  int epoll_ = -1;
  bool running_ = true;
  std::multimap<Micros, Waiter*> timers_;
  std::deque<std::coroutine_handle<>> ready_;
  std::string scratch_;  ///< what a read lands in first, so that idle connections hold no buffer
};

/// A TCP socket; IPv4 by number. One coroutine at a time may read and one may write. It must not be moved or
/// closed while one does. Deadlines (`until`) are instants of the steady clock.
class Socket {
 public:
  Socket() = default;
  Socket(Loop& loop, int fd);
  Socket(Socket&&) noexcept = default;
  Socket& operator=(Socket&& other) noexcept;
  ~Socket() { close(); }

  bool open() const { return fd_.value >= 0; }
  void close();

  /// Waits until something arrives and appends it to `into`. False at the end, on an error, or when the time
  /// ran out.
  Task<bool> read(std::string& into, Micros until);
  /// Writes all of `bytes`, which have to outlive the task. False on an error or when the time ran out: how
  /// much was written is not known then.
  Task<bool> write(std::string_view bytes, Micros until);
  /// Ends the read that is under way, and all later ones, as if the other side had closed.
  void stop_reading();
  /// Whether an idle connection is still good for a request: open, and nothing unasked has arrived.
  bool reusable() const;

  /// Waits for the next connection to a listening socket, however long.
  Task<Socket> accept();
  /// A socket that is not open if it can't connect in time.
  static Task<Socket> connect(Loop& loop, const std::string& address, Micros until);
  /// Throws std::runtime_error, naming the address.
  [[nodiscard]] static Socket listen(Loop& loop, const std::string& address, std::size_t backlog);

 private:
  /// A descriptor that moves with its owner; -1: none.
  struct Fd {
    int value = -1;
    Fd() = default;
    explicit Fd(int descriptor) : value(descriptor) {}
    Fd(Fd&& other) noexcept : value(std::exchange(other.value, -1)) {}
    Fd& operator=(Fd&& other) noexcept {
      std::swap(value, other.value);
      return *this;
    }
  };
  Loop* loop_ = nullptr;
  Fd fd_;
  std::unique_ptr<Loop::Watch> watch_;  ///< at an address that moves of the socket don't change
};

}  // namespace bendtide::io
