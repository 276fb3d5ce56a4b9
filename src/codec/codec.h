// The binary codec for messages between controllers.
//
//   frame   := magic version length payload
//   payload := kind sender fields...
//
// The magic byte is not a letter, which distinguishes frames from HTTP requests on the same port. Unsigned
// numbers are encoded as LEB128, signed numbers as zig-zag LEB128, and floating-point numbers as the LEB128
// encoding of their bit pattern. Strings and lists are a length followed by their elements. The kind is the
// index of the message in PeerMessage, so the order of its alternatives is part of the format.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/model/actions.h"

namespace bendtide::codec {

inline constexpr unsigned char kMagic = 0xB7;
inline constexpr unsigned char kVersion = 2;
inline constexpr std::size_t kMaxPayloadBytes = 64 * 1024;

/// A message and its sender.
struct Envelope {
  std::string sender;  ///< host name of the sender
  PeerMessage message;
};

/// Encodes a message as one frame.
[[nodiscard]] std::string encode(const Envelope& envelope);

/// The result of reading a frame.
struct Decoded {
  enum class State { incomplete, complete, malformed };
  State state = State::incomplete;
  std::size_t consumed = 0;  ///< size of the frame in bytes; set if the frame is complete
  Envelope envelope;         ///< set if the frame is complete
};

/// Reads one frame from the beginning of `bytes`, which may hold an incomplete frame or more than one.
[[nodiscard]] Decoded decode(std::string_view bytes);

}  // namespace bendtide::codec
