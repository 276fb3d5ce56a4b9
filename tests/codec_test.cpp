#include "codec/codec.h"

#include <gtest/gtest.h>

#include <random>

namespace bendtide::codec {
namespace {

/// Returns one message of each type, with boundary values in some fields.
std::vector<PeerMessage> one_of_each() {
  CallForProposals call;
  call.id = UINT64_MAX;
  call.tasks = 100'000;
  call.task_resources = {2500, 0, 64'000'000};
  call.types = {"small", "large"};
  call.spare_quota = {-5, 0};
  call.disclosed = true;
  call.priority = Priority::production;
  call.time_to_deadline = seconds(-3);
  JobSpec spec;
  spec.id = "run-1";
  spec.zone = "east";
  spec.image_gb = 1.25;
  spec.deadline = seconds(90);
  return {JobQuery{7, JobQuery::Kind::submit, "run-1", true, spec},
          JobReply{7, 201, JobPhase::done, 300, 0},
          call,
          Proposal{9, 3, "node-1", 12, seconds(2), 730, 4711, {8000, 0}},
          AwardNotice{"node-1"},
          ProgressNotice{"node-0"},
          FailbackRequest{"node-2"},
          QuotaTransferRequest{"a", "b", "team", {1, 2}, seconds(3)},
          JobEndNotice{"run-1"},
          CapacityExhausted{"large", "east", true},
          PeerHealth{true, 3},
          LeaseTransfer{"node-1",
                        4711,
                        true,
                        {{"n-1", seconds(3), seconds(4), {{{"run-1", 2}, 5, TaskPhase::saving, {}}}}, {}}}};
}

TEST(Codec, RoundTripsEveryMessageType) {
  const auto messages = one_of_each();
  ASSERT_EQ(messages.size(), std::variant_size_v<PeerMessage>);
  for (const PeerMessage& message : messages) {
    const std::string bytes = encode({"sender", message});
    const Decoded decoded = decode(bytes + "rest");
    ASSERT_EQ(decoded.state, Decoded::State::complete) << message.index();
    EXPECT_EQ(decoded.consumed, bytes.size());
    EXPECT_EQ(decoded.envelope.sender, "sender");
    // Encoding the decoded message yields the same bytes.
    EXPECT_EQ(encode(decoded.envelope), bytes) << message.index();
  }
}

TEST(Codec, ReportsTruncatedFrameAsIncomplete) {
  const std::string bytes = encode({"sender", one_of_each()[2]});
  for (std::size_t n = 0; n < bytes.size(); ++n)
    EXPECT_EQ(decode(std::string_view(bytes).substr(0, n)).state, Decoded::State::incomplete) << n;
}

TEST(Codec, RejectsMalformedFrames) {
  const std::string good = encode({"sender", AwardNotice{"shard"}});
  auto with = [&](std::size_t at, char c) {
    std::string bytes = good;
    bytes[at] = c;
    return bytes;
  };
  const std::vector<std::pair<const char*, std::string>> cases = {
      {"magic", with(0, 'G')},
      {"version", with(1, 9)},
      {"kind", with(3, 100)},
      {"sender longer than the frame", with(4, 120)},
      {"unread bytes at the end of the frame", with(2, static_cast<char>(good[2] - 1))},
      {"frame too long", std::string("\xB7\x01\xFF\xFF\xFF\x7F", 6)},
      {"unterminated length", "\xB7\x01" + std::string(12, '\xFF')},
  };
  for (const auto& [name, bytes] : cases) EXPECT_EQ(decode(bytes).state, Decoded::State::malformed) << name;
}

// Guards against crashes and reads beyond the input: changes random bytes in valid frames, after the magic
// and the version.
TEST(Codec, SurvivesCorruptedFrames) {
  std::mt19937 random(1);
  for (int i = 0; i < 20'000; ++i) {
    std::string bytes = encode({"sender", one_of_each()[random() % 9]});
    for (int k = 0; k < 3; ++k) bytes[2 + random() % (bytes.size() - 2)] = static_cast<char>(random());
    const Decoded decoded = decode(bytes);
    if (decoded.state == Decoded::State::complete) {
      EXPECT_LE(decoded.consumed, bytes.size());
    }
  }
}

}  // namespace
}  // namespace bendtide::codec
