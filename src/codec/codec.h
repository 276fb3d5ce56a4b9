// The controllers' own codec: frames of varints.
//
//   frame   := magic version length payload       magic is no letter: HTTP on the same port is told apart by
//   it payload := kind sender fields...
//
// Numbers are unsigned LEB128 (signed ones zig-zag first), strings are a length and bytes.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/model/actions.h"

namespace bendtide::codec {

inline constexpr unsigned char kMagic = 0xB7;
inline constexpr unsigned char kVersion = 2;
inline constexpr std::size_t kLongestFrame = 64 * 1024;

struct Envelope {
  std::string sender;
  PeerMessage message;
};

std::string encode(const Envelope& envelope);

struct Decoded {
  enum class State { incomplete, complete, malformed };
  State state = State::incomplete;
  std::size_t consumed = 0;
  Envelope envelope;
};

/// Reads one frame from the beginning of `bytes`.
Decoded decode(std::string_view bytes);

}  // namespace bendtide::codec
