// The binary codec of the messages between controllers.
//
//   frame   := magic version length payload
//   payload := kind sender fields...
//
// The magic byte is no letter, which tells frames from HTTP on the same port. Numbers are unsigned LEB128
// (signed ones zig-zag first), strings and lists are a length and their elements. The kind is the index of
// the message in PeerMessage, so the order of its alternatives is part of the format.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/model/actions.h"

namespace bendtide::codec {

inline constexpr unsigned char kMagic = 0xB7;
inline constexpr unsigned char kVersion = 2;
inline constexpr std::size_t kLongestFrame = 64 * 1024;  ///< bytes of payload

/// A message and who sends it.
struct Envelope {
  std::string sender;  ///< host
  PeerMessage message;
};

/// One frame.
[[nodiscard]] std::string encode(const Envelope& envelope);

/// What was found at the beginning of some bytes.
struct Decoded {
  enum class State { incomplete, complete, malformed };
  State state = State::incomplete;
  std::size_t consumed = 0;  ///< bytes of the complete frame
  Envelope envelope;         ///< of a complete frame
};

/// Reads one frame from the beginning of `bytes`, which may hold less or more than one.
[[nodiscard]] Decoded decode(std::string_view bytes);

}  // namespace bendtide::codec
