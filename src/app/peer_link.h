// The link to one other controller: a bounded queue of frames, and a connection that is made again as needed.
#pragma once

#include <deque>

#include "codec/codec.h"
#include "io/loop.h"

namespace bendtide {

/// One direction only: what the other controller sends comes over its own link. Messages may be lost, and the
/// protocol allows for it: all of them are hints, or questions with a time limit.
class PeerLink {
 public:
  /// `self`: the host that the frames name as their sender. `address`: HOST:PORT of the other controller.
  PeerLink(io::Loop& loop, std::string self, std::string address)
      : loop_(loop), self_(std::move(self)), address_(std::move(address)) {}

  /// Queues a message. If the queue is full, the oldest is dropped; so is what could not be sent for a
  /// second.
  void send(PeerMessage message);
  /// Sends what is queued; never ends. Spawned once; the link has to outlive it.
  io::Task<> run();

 private:
  struct Frame {
    Micros queued_at;  ///< steady clock
    std::string bytes;
  };
  void drop_delayed_frames();
  /// All queued frames, one behind the other; the queue is empty afterwards.
  std::string take_queue();

  static constexpr std::size_t kLongestQueue = 256;

  io::Loop& loop_;
  std::string self_;
  std::string address_;
  std::deque<Frame> queue_;
  io::Waiter more_;  ///< woken when a frame is queued
};

}  // namespace bendtide
