// The event loop: epoll, timers, sockets, and the awaitables that coroutines wait on.
//
// Single-threaded. Only the loop resumes waiting coroutines, in the order in which they were woken; wake()
// itself never resumes one. All points in time are of the steady clock (Loop::now).
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

/// An event that one coroutine at a time can wait for, with a deadline. The loop holds a pointer to it during
/// the wait, so it must be neither moved nor destroyed until the wait ends.
class Waiter {
 public:
  /// Whether a coroutine is waiting.
  bool is_waiting() const { return static_cast<bool>(handle_); }
  /// Whether the last wait ended because its deadline passed.
  bool timed_out() const { return timed_out_; }

 private:
  friend class Loop;
  std::coroutine_handle<> handle_;  ///< the waiting coroutine; null if there is none
  std::multimap<Micros, Waiter*>::iterator timer_;
  bool timed_out_ = false;
};

/// Runs coroutines, timers and sockets. Sockets, waiters and spawned coroutines refer to the loop and must
/// not be used after its destruction.
class Loop {
 public:
  /// Throws std::runtime_error if no epoll instance can be created.
  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  /// Runs until stop() is called. Coroutines that are still waiting by then are never resumed.
  void run();
  /// Makes run() return at the end of its current iteration.
  void stop() { running_ = false; }
  /// Returns the time of the steady clock.
  Micros now() const;

  /// Starts a coroutine without awaiting it. It runs immediately until it waits for the first time, and its
  /// frame is destroyed when it ends. An exception ends it and is reported to `on_error`.
  void spawn(Task<> task);
  /// Called with the text of an exception that ended a spawned coroutine; may be empty.
  std::function<void(const std::string& message)> on_error;

  /// The awaitable that wait() returns.
  struct Wait {
    Loop& loop;
    Waiter& waiter;
    Micros deadline;
    bool await_ready() const noexcept { return false; }
    void await_suspend(std::coroutine_handle<> handle) { loop.arm(waiter, handle, deadline); }
    /// Returns false if the deadline passed.
    bool await_resume() const noexcept { return !waiter.timed_out(); }
  };
  /// Suspends the awaiting coroutine until the waiter is woken (true) or `deadline` has passed (false),
  /// whichever the loop sees first.
  [[nodiscard]] Wait wait(Waiter& waiter, Micros deadline) { return {*this, waiter, deadline}; }
  /// Schedules the waiting coroutine, if there is one. Has no effect on a later wait.
  void wake(Waiter& waiter);
  Task<> sleep(Micros duration);

 private:
  friend class Socket;
  /// The state of a file descriptor. Because epoll is edge-triggered, `readable` and `writable` stay true
  /// until a call would block.
  struct Descriptor {
    Waiter reader;
    Waiter writer;
    bool readable = true;
    bool writable = true;
    bool reads_stopped = false;  ///< Socket::stop_reading() was called
  };
  /// Registers `handle` as waiting, with a timer for the deadline.
  void arm(Waiter& waiter, std::coroutine_handle<> handle, Micros deadline);
  /// Registers a file descriptor with epoll. `descriptor` must live until `fd` is closed.
  void add(int fd, Descriptor* descriptor) const;
  void resume_ready();
  /// Wakes the waiters whose deadline has passed.
  void wake_expired(Micros now);
  /// Waits for events on file descriptors until the next timer expires at the latest.
  void poll(Micros now);
  void dispatch(Descriptor& descriptor, std::uint32_t events);

  int epoll_ = -1;
  bool running_ = true;
  std::multimap<Micros, Waiter*> timers_;
  std::deque<std::coroutine_handle<>> ready_;  ///< woken coroutines, to be resumed in this order
  std::string scratch_;  ///< shared buffer that reads fill first, so that idle connections need no buffer
};

/// A TCP socket for numeric IPv4 addresses. At most one coroutine may read and one may write at a time. The
/// socket must not be moved or closed meanwhile. Deadlines are points in time of the steady clock.
class Socket {
 public:
  Socket() = default;
  Socket(Loop& loop, int fd);
  Socket(Socket&&) noexcept = default;
  Socket& operator=(Socket&& other) noexcept;
  ~Socket() { close(); }

  bool open() const { return fd_.value >= 0; }
  void close();

  /// Waits for bytes and appends them to `buffer`. Returns false at the end of the stream, on an error, or
  /// when the deadline has passed.
  Task<bool> read(std::string& buffer, Micros deadline);
  /// Writes all of `bytes`, which must outlive the task. Returns false on an error or when the deadline has
  /// passed; an unknown part of the bytes has been written then.
  Task<bool> write(std::string_view bytes, Micros deadline);
  /// Makes the current read and all later ones return false, as if the peer had closed the connection.
  void stop_reading();
  /// Whether an idle connection can carry another request: it is open, and no unexpected bytes have
  /// arrived.
  bool reusable() const;

  /// Waits for the next connection to a listening socket, without a deadline.
  Task<Socket> accept();
  /// Connects to `address`. Returns a socket that is not open if that fails or the deadline passes.
  static Task<Socket> connect(Loop& loop, const std::string& address, Micros deadline);
  /// Returns a listening socket. Throws std::runtime_error, naming the address, on failure.
  [[nodiscard]] static Socket listen(Loop& loop, const std::string& address, std::size_t backlog);

 private:
  /// A file descriptor that can be moved; -1 if there is none.
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
  std::unique_ptr<Loop::Descriptor> descriptor_;  ///< on the heap, because epoll keeps its address
};

}  // namespace bendtide::io
