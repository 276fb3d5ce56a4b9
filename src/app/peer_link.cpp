#include "app/peer_link.h"

namespace bendtide {

namespace {

constexpr Micros kLongestDelay = seconds(1);  ///< of a frame in the queue, and of writing
constexpr Micros kConnectTimeout = millis(800);
constexpr Micros kReconnectPause = millis(300);
constexpr Micros kIdleWait = seconds(60);

}  // namespace

void PeerLink::send(PeerMessage message) {
  if (queue_.size() >= kLongestQueue) queue_.pop_front();
  queue_.push_back({loop_.now(), codec::encode({self_, std::move(message)})});
  loop_.wake(more_);
}

io::Task<> PeerLink::run() {
  io::Socket socket;
  for (;;) {
    drop_delayed_frames();
    if (queue_.empty()) {
      co_await loop_.wait(more_, loop_.now() + kIdleWait);
      continue;
    }
    if (!socket.reusable())
      socket = co_await io::Socket::connect(loop_, address_, loop_.now() + kConnectTimeout);
    if (!socket.open()) {
      co_await loop_.sleep(kReconnectPause);
      continue;
    }
    const std::string bytes = take_queue();
    if (!co_await socket.write(bytes, loop_.now() + kLongestDelay)) socket.close();
  }
}

void PeerLink::drop_delayed_frames() {
  while (!queue_.empty() && loop_.now() - queue_.front().queued_at > kLongestDelay) queue_.pop_front();
}

std::string PeerLink::take_queue() {
  std::string bytes;
  for (const Frame& frame : queue_) bytes += frame.bytes;
  queue_.clear();
  return bytes;
}

}  // namespace bendtide
