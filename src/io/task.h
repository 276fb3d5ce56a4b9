// A lazy coroutine that is awaited once, or started with Loop::spawn.
//
// A task owns the frame of its coroutine, which does not run before the task is awaited. When the coroutine
// ends, it resumes the awaiting coroutine directly, without going through the loop, and passes on its value
// or its exception. Tasks cannot be cancelled. They end in bounded time because everything that they wait for
// has a deadline. Arguments passed by reference must outlive the task.
#pragma once

#include <coroutine>
#include <exception>
#include <optional>
#include <utility>

namespace bendtide::io {

template <class T>
class Task;

namespace detail {

struct PromiseBase {
  std::coroutine_handle<> continuation;  ///< the awaiting coroutine
  std::exception_ptr error;

  /// Resumes the awaiting coroutine. The frame remains until its Task is destroyed.
  struct FinalAwaiter {
    bool await_ready() noexcept { return false; }
    template <class Promise>
    std::coroutine_handle<> await_suspend(std::coroutine_handle<Promise> ended) noexcept {
      const auto next = ended.promise().continuation;
      return next ? next : std::noop_coroutine();
    }
    void await_resume() noexcept {}
  };
  std::suspend_always initial_suspend() noexcept { return {}; }
  FinalAwaiter final_suspend() noexcept { return {}; }
  void unhandled_exception() { error = std::current_exception(); }
};

template <class T>
struct Promise : PromiseBase {
  std::optional<T> value;
  Task<T> get_return_object();
  void return_value(T returned) { value.emplace(std::move(returned)); }
  T result() {
    if (error) std::rethrow_exception(error);
    return std::move(*value);
  }
};

template <>
struct Promise<void> : PromiseBase {
  Task<void> get_return_object();
  void return_void() {}
  void result() {
    if (error) std::rethrow_exception(error);
  }
};

}  // namespace detail

/// A coroutine that returns a T. Must be awaited or spawned exactly once. If the task is destroyed before
/// that, the coroutine never runs.
template <class T = void>
class [[nodiscard]] Task {
 public:
  using promise_type = detail::Promise<T>;
  using Handle = std::coroutine_handle<promise_type>;

  explicit Task(Handle handle) : handle_(handle) {}
  Task(Task&& other) noexcept : handle_(std::exchange(other.handle_, {})) {}
  Task& operator=(Task&&) = delete;
  ~Task() {
    if (handle_) handle_.destroy();
  }

  bool await_ready() const noexcept { return false; }
  std::coroutine_handle<> await_suspend(std::coroutine_handle<> awaiting) noexcept {
    handle_.promise().continuation = awaiting;
    return handle_;
  }
  T await_resume() { return handle_.promise().result(); }

 private:
  Handle handle_;
};

namespace detail {
template <class T>
Task<T> Promise<T>::get_return_object() {
  return Task<T>(std::coroutine_handle<Promise<T>>::from_promise(*this));
}
inline Task<void> Promise<void>::get_return_object() {
  return Task<void>(std::coroutine_handle<Promise<void>>::from_promise(*this));
}
}  // namespace detail

}  // namespace bendtide::io
