// The outgoing link to another controller: a bounded queue of frames and a connection that is reopened on
// demand.
#pragma once

#include <deque>

#include "codec/codec.h"
#include "io/loop.h"

namespace bendtide {

/// Sends messages in one direction only; the other controller sends over a link of its own. Messages may be
/// lost. The protocol tolerates that: each message is a hint, or a question with a time limit.
class PeerLink {
 public:
  /// `self`: the host of this controller, which frames carry as their sender. `address`: HOST:PORT of the
  /// other controller.
  PeerLink(io::Loop& loop, std::string self, std::string address)
      : loop_(loop), self_(std::move(self)), address_(std::move(address)) {}

  /// Queues a message. If the queue is full, its oldest message is dropped. Messages that could not be sent
  /// within one second are dropped too.
  void send(PeerMessage message);
  /// Sends queued messages; never returns. Must be spawned exactly once, and the link must outlive it.
  io::Task<> run();

 private:
  /// An encoded message.
  struct Frame {
    Micros queued_at;  ///< steady clock
    std::string bytes;
  };
  void drop_expired_frames();
  /// Empties the queue and returns its frames, concatenated.
  std::string take_queued_bytes();

  static constexpr std::size_t kMaxQueuedFrames = 256;

  io::Loop& loop_;
  std::string self_;
  std::string address_;
  std::deque<Frame> queue_;
  io::Waiter frame_queued_;  ///< woken when a frame is queued
};

}  // namespace bendtide
