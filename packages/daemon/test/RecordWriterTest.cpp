#include "ApiFixture.h"
#include "burdockstream/records/RecordParser.h"

#include <gmock/gmock.h>

namespace burdockstream::daemon {
namespace {

using base::ErrorKind;
using ::testing::ElementsAre;
using ::testing::HasSubstr;
using testing::StoreFault;

// ApiFixture stores shopdesk at revision 2 and fitvault at revision 3.
class RecordWriterTest : public ::testing::Test {
protected:
  static RecordWrite slots(int Slots) {
    return {"retail",
            R"({"schema_version": 2, "service": "shopdesk", "team": "retail",
              "address": "127.0.10.1:5683", "buckets": 4,
              "limits": {"slots_per_endpoint": )" +
                std::to_string(Slots) + "}}",
            "shopdesk",
            false,
            {}};
  }

  static RecordWrite claim(const std::string &Service, int Port) {
    return {"retail",
            R"({"schema_version": 2, "team": "retail", "service": ")" +
                Service + R"(", "address": "127.0.10.9:)" +
                std::to_string(Port) + "\"}",
            Service,
            false,
            {}};
  }

  void storeDirectly(const std::string &Service, const std::string &Text,
                     base::Revision Expected) {
    std::optional<bool> Done;
    Api.StoreLink.compareAndSwap(
        {"/burdockstream/records/" + Service, Text, Expected, store::NoLease},
        [&](const base::Result<store::CasReply> &Reply) {
          Done = Reply.value().Succeeded;
        });
    await(Done);
    EXPECT_TRUE(*Done);
  }

  ApiFixture Api;
};

// Guards against needless versions of a record, and against a repeated command
// that fails although its first attempt took effect.
TEST_F(RecordWriterTest, AnEqualRecordIsNotWritten) {
  RecordWrite Write = slots(5);
  Write.IfRevision = 2;
  EXPECT_EQ(Api.write(Write).value().Entry.StoreRevision, 4);
  const auto Again = Api.write(Write); // IfRevision is outdated by now
  ASSERT_TRUE(Again.has_value()) << Again.error().Message;
  EXPECT_FALSE(Again.value().Changed);
  EXPECT_EQ(Again.value().Entry.StoreRevision, 4);
  RecordWrite Foreign = slots(5);
  Foreign.Team = "fitness";
  EXPECT_EQ(Api.write(Foreign).error().Kind, ErrorKind::PermissionDenied);
}

// Guards against a retirement that is written twice.
TEST_F(RecordWriterTest, RetiresOnce) {
  RecordWrite Retire{"retail", "", "fitvault", true, {}};
  EXPECT_TRUE(Api.write(Retire).value().Changed);
  EXPECT_FALSE(Api.write(Retire).value().Changed);
  Retire.Service = "gildenamt";
  EXPECT_EQ(Api.write(Retire).error().Kind, ErrorKind::NotFound);
}

// Guards against an operator who overwrites another's change unseen.
TEST_F(RecordWriterTest, ALostRaceNamesBothRevisionsAndShowsTheWinner) {
  RecordWrite Stale = slots(5);
  Stale.IfRevision = 1;
  const auto Lost = Api.write(Stale);
  ASSERT_TRUE(Lost.has_error());
  EXPECT_EQ(Lost.error().Kind, ErrorKind::Conflict);
  EXPECT_THAT(Lost.error().Message,
              HasSubstr("shopdesk is at revision 2, not at 1"));
  storeDirectly("shopdesk", slots(9).Body, 2); // not known to the balancer yet
  Stale.IfRevision = 2;
  EXPECT_THAT(Api.write(Stale).error().Message,
              HasSubstr("at revision 4, not at 2"));
  EXPECT_EQ(
      Api.Balancer.records().findByName("shopdesk")->Config.SlotsPerEndpoint,
      9);
}

// Guards against a write that is lost, or reported as failed, because an answer
// of the store was lost.
TEST_F(RecordWriterTest, ALostAnswerIsSettled) {
  std::optional<base::Result<RecordWritten>> Result;
  Api.Writer.write(slots(5), [&](base::Result<RecordWritten> Value) {
    Result = std::move(Value);
  });
  // The read is answered, and the write is applied without an answer.
  while (!Result) {
    g_main_context_iteration(nullptr, TRUE);
    if (Api.StoreLink.counters().Writes == 3)
      Api.Store.setFault(StoreFault::DropResponse, {});
    if (Api.StoreLink.counters().Failures > 0)
      Api.Store.setFault(StoreFault::None, {});
  }
  ASSERT_TRUE(Result->has_value()) << Result->error().Message;
  EXPECT_GT(Api.StoreLink.counters().Failures, 0U);
  EXPECT_EQ(Result->value().Entry.StoreRevision, 4);
}

TEST_F(RecordWriterTest, WithoutAStoreNothingIsWritten) {
  Api.Store.setFault(StoreFault::Disconnect, {});
  EXPECT_EQ(Api.write(slots(5)).error().Kind, ErrorKind::Unavailable);
}

// Guards against a claim whose age is lost when the record is written again.
TEST_F(RecordWriterTest, KeepsTheRevisionOfTheFirstClaim) {
  ASSERT_TRUE(Api.write(slots(5)).has_value());
  ASSERT_TRUE(Api.write(slots(6)).has_value());
  const auto &Config = Api.Balancer.records().findByName("shopdesk")->Config;
  EXPECT_EQ(Config.StoreRevision, 5);
  EXPECT_EQ(Config.AddressSince, 2);
}

// Guards against two writers that claim one address at the same moment without
// either being told.
TEST_F(RecordWriterTest, TwoClaimsAtOnceAreReportedToOneWriterAtLeast) {
  // Both reads are answered before either write is sent.
  Api.Store.setFault(StoreFault::None, std::chrono::milliseconds(50));
  std::optional<base::Result<RecordWritten>> First;
  std::optional<base::Result<RecordWritten>> Second;
  Api.Writer.write(claim("gildenamt", 1), [&](base::Result<RecordWritten> R) {
    First = std::move(R);
  });
  Api.Writer.write(
      claim("musterarchiv", 1),
      [&](base::Result<RecordWritten> R) { Second = std::move(R); });
  await(First);
  await(Second);
  ASSERT_TRUE(First->has_value() && Second->has_value());
  const bool FirstWins =
      First->value().Entry.StoreRevision < Second->value().Entry.StoreRevision;
  const auto &Later = FirstWins ? Second->value() : First->value();
  const std::string Earlier = FirstWins ? "gildenamt" : "musterarchiv";
  EXPECT_THAT(Later.ContestedWith, ElementsAre(Earlier));
  EXPECT_EQ(Api.Balancer.records().servedAt({0x7f000a09, 1})->Service, Earlier);
  EXPECT_EQ(Api.write(claim("neuheim", 1)).error().Kind,
            ErrorKind::AlreadyExists);
}

// Guards against a stored record that nobody can repair.
TEST_F(RecordWriterTest, AnInvalidRecordIsReplacedByRevisionOnly) {
  storeDirectly("gildenamt", "{", 0);
  RecordWrite Write = claim("gildenamt", 2);
  const auto Refused = Api.write(Write);
  ASSERT_TRUE(Refused.has_error());
  EXPECT_THAT(Refused.error().Message, HasSubstr("with if_revision 4"));
  Write.IfRevision = 4;
  EXPECT_TRUE(Api.write(Write).has_value());
}

// Guards against a condition that is skipped because it has the wrong type.
TEST_F(RecordWriterTest, RefusesAConditionOfTheWrongType) {
  const Json::Value Answer = Api.post(
      ApiFixture::BalancerControl,
      R"({"jsonrpc": "2.0", "id": 1, "method": "record.retire", "params":
        {"service": "fitvault", "if_revision": "2"}})",
      Credential::Token);
  EXPECT_THAT(Answer["error"]["message"].asString(), HasSubstr("if_revision"));
  EXPECT_FALSE(Api.Balancer.records().findByName("fitvault")->Config.Retired);
}

} // namespace
} // namespace burdockstream::daemon
