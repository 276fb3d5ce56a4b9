// Stored records: what is written can be read back, and the error for an unreadable record names the invalid
// field.

#include "core/model/records.h"

#include <gtest/gtest.h>

namespace bendtide::records {
namespace {

LiveJob live() {
  LiveJob job;
  job.shard = "a";
  job.spec.id = "run-1";
  job.spec.tasks = 3;
  job.spec.zone = "z1";
  job.spec.deadline = seconds(60);
  job.accepted_at = seconds(1000);
  return job;
}

TEST(Records, RoundTripThroughJson) {
  const Value stored = to_json(live());
  const auto read = read_live_job(stored);
  ASSERT_TRUE(read.ok());
  EXPECT_EQ(read->spec, live().spec);
  EXPECT_EQ(to_json(*read), stored);

  const Award given{"a", {{0, 2}, {5, 1}}, live()};
  const auto award = read_award(to_json(given));
  ASSERT_TRUE(award.ok());
  EXPECT_EQ(award->ranges, given.ranges);

  const std::vector<DoneBits> written = {{"run-1", 2, {true, false, false, true, true, false, false, false}}};
  const auto done = read_done_bits(to_json(written));
  ASSERT_TRUE(done.ok());
  EXPECT_EQ(done->front().bits, written.front().bits);
}

TEST(Records, ReadErrorNamesFieldAndKind) {
  using Kind = ReadError::Kind;
  struct Case {
    const char* field;
    Value value;  ///< replaces that of the field; null: the field is removed
    Kind kind;
  };
  const std::vector<Case> cases = {{"/part", nullptr, Kind::missing_field},
                                   {"/part", 7, Kind::wrong_type},
                                   {"/spec", 7, Kind::wrong_type},
                                   {"/spec/shape", 9, Kind::out_of_range},
                                   {"/spec/each/1", "much", Kind::wrong_type},
                                   {"/spec/zone", 7, Kind::wrong_type},
                                   {"/accepted", nullptr, Kind::missing_field}};
  for (const Case& c : cases) {
    Value stored = to_json(live());
    const Value::json_pointer pointer(c.field);
    if (c.value.is_null())
      stored[pointer.parent_pointer()].erase(pointer.back());
    else
      stored[pointer] = c.value;
    const auto read = read_live_job(stored);
    ASSERT_FALSE(read.ok()) << c.field;
    EXPECT_EQ(read.error().kind, c.kind) << c.field;
    EXPECT_EQ(read.error().field, c.field);
  }
  EXPECT_EQ(to_string(read_live_job(Value::object()).error()), "missing field /part");
  EXPECT_EQ(read_done_bits(Value::array({{"run-1", 0, "0x"}})).error(),
            (ReadError{Kind::out_of_range, "/0/2"}));
}

TEST(Records, AbsentKeyReadsAsNoRecord) {
  StoreResponse response;
  response.outcome = StoreResponse::Outcome::absent;
  EXPECT_EQ(read_first(response, read_live_job).error().kind, ReadError::Kind::no_record);
  response.outcome = StoreResponse::Outcome::ok;
  response.entries = {{live_key("run-1"), to_json(live()), 5}};
  EXPECT_TRUE(read_first(response, read_live_job).ok());
}

}  // namespace
}  // namespace bendtide::records
