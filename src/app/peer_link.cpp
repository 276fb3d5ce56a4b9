#include "app/peer_link.h"

namespace bendtide {

namespace {

constexpr Micros kMaxDelay = seconds(1);  ///< of a frame in the queue, and again of a write
constexpr Micros kConnectTimeout = millis(800);
constexpr Micros kReconnectDelay = millis(300);
constexpr Micros kIdleWait = seconds(60);  ///< an empty queue is checked again after this time

}  // namespace

void PeerLink::send(PeerMessage message) {
  if (queue_.size() >= kMaxQueuedFrames) queue_.pop_front();
  queue_.push_back({loop_.now(), codec::encode({self_, std::move(message)})});
  loop_.wake(frame_queued_);
}

io::Task<> PeerLink::run() {
  io::Socket socket;
  for (;;) {
    drop_expired_frames();
    if (queue_.empty()) {
      co_await loop_.wait(frame_queued_, loop_.now() + kIdleWait);
      continue;
    }
    if (!socket.reusable())
      socket = co_await io::Socket::connect(loop_, address_, loop_.now() + kConnectTimeout);
    if (!socket.open()) {
      co_await loop_.sleep(kReconnectDelay);
      continue;
    }
    const std::string bytes = take_queued_bytes();
    if (!co_await socket.write(bytes, loop_.now() + kMaxDelay)) socket.close();
  }
}

void PeerLink::drop_expired_frames() {
  while (!queue_.empty() && loop_.now() - queue_.front().queued_at > kMaxDelay) queue_.pop_front();
}

std::string PeerLink::take_queued_bytes() {
  std::string bytes;
  for (const Frame& frame : queue_) bytes += frame.bytes;
  queue_.clear();
  return bytes;
}

}  // namespace bendtide
