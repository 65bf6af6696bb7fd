#include "ApiFixture.h"
#include "burdockstream/records/RecordParser.h"

#include <gmock/gmock.h>

namespace burdockstream::daemon {
namespace {

using base::ErrorKind;
using ::testing::ElementsAre;
using ::testing::HasSubstr;
using testing::StoreFault;

// The fixture has stored shopdesk at revision 2 and fitvault at revision 3.
class RecordWriterTest : public ::testing::Test {
protected:
  // Changes the slot count of shopdesk.
  static RecordWrite shopdeskWithSlots(int Slots) {
    return {"retail",
            R"({"schema_version": 2, "service": "shopdesk", "team": "retail",
              "address": "127.0.10.1:5683", "buckets": 4,
              "limits": {"slots_per_endpoint": )" +
                std::to_string(Slots) + "}}",
            "shopdesk",
            false,
            {}};
  }

  // Creates a record of Service for the address 127.0.10.9:Port.
  static RecordWrite addressClaim(const std::string &Service, int Port) {
    return {"retail",
            R"({"schema_version": 2, "team": "retail", "service": ")" +
                Service + R"(", "address": "127.0.10.9:)" +
                std::to_string(Port) + "\"}",
            Service,
            false,
            {}};
  }

  // Writes a record to the store without the writer.
  void storeDirectly(const std::string &Service, const std::string &Text,
                     base::Revision Expected) {
    std::optional<bool> Done;
    Api.StoreConnection.compareAndSwap(
        {"/burdockstream/records/" + Service, Text, Expected, store::NoLease},
        [&](const base::Result<store::CasReply> &Reply) {
          Done = Reply.value().Succeeded;
        });
    await(Done);
    EXPECT_TRUE(*Done);
  }

  ApiFixture Api;
};

// Guards against new revisions without a change, and against a repeated command
// that fails although its first attempt took effect.
TEST_F(RecordWriterTest, DoesNotWriteAnEqualRecord) {
  RecordWrite Write = shopdeskWithSlots(5);
  Write.IfRevision = 2;
  EXPECT_EQ(Api.write(Write).value().Entry.StoreRevision, 4);
  const auto Again = Api.write(Write); // the record is past IfRevision now
  ASSERT_TRUE(Again.has_value()) << Again.error().Message;
  EXPECT_FALSE(Again.value().Changed);
  EXPECT_EQ(Again.value().Entry.StoreRevision, 4);
  RecordWrite OtherTeam = shopdeskWithSlots(5);
  OtherTeam.Team = "fitness";
  EXPECT_EQ(Api.write(OtherTeam).error().Kind, ErrorKind::PermissionDenied);
}

// Guards against a second write for a record that is already retired.
TEST_F(RecordWriterTest, RetiresOnce) {
  RecordWrite Retire{"retail", "", "fitvault", true, {}};
  EXPECT_TRUE(Api.write(Retire).value().Changed);
  EXPECT_FALSE(Api.write(Retire).value().Changed);
  Retire.Service = "gildenamt";
  EXPECT_EQ(Api.write(Retire).error().Kind, ErrorKind::NotFound);
}

// Guards against an operator overwriting a concurrent change unknowingly.
TEST_F(RecordWriterTest, ConflictReportsBothRevisionsAndTheStoredRecord) {
  RecordWrite Stale = shopdeskWithSlots(5);
  Stale.IfRevision = 1;
  const auto Rejected = Api.write(Stale);
  ASSERT_TRUE(Rejected.has_error());
  EXPECT_EQ(Rejected.error().Kind, ErrorKind::Conflict);
  EXPECT_THAT(Rejected.error().Message,
              HasSubstr("shopdesk is at revision 2, not at 1"));
  // A change that the balancer does not know yet.
  storeDirectly("shopdesk", shopdeskWithSlots(9).Body, 2);
  Stale.IfRevision = 2;
  EXPECT_THAT(Api.write(Stale).error().Message,
              HasSubstr("at revision 4, not at 2"));
  EXPECT_EQ(
      Api.Balancer.records().findByName("shopdesk")->Config.SlotsPerEndpoint,
      9);
}

// Guards against a write that is lost or reported as failed because a response
// of the store was lost.
TEST_F(RecordWriterTest, RetriesAfterALostStoreResponse) {
  std::optional<base::Result<RecordWriteResult>> Result;
  Api.Writer.write(shopdeskWithSlots(5),
                   [&](base::Result<RecordWriteResult> Value) {
                     Result = std::move(Value);
                   });
  // The store responds to the read, and applies the write without a response.
  while (!Result) {
    g_main_context_iteration(nullptr, TRUE);
    if (Api.StoreConnection.counters().Writes == 3)
      Api.Store.setFault(StoreFault::DropResponse, {});
    if (Api.StoreConnection.counters().Failures > 0)
      Api.Store.setFault(StoreFault::None, {});
  }
  ASSERT_TRUE(Result->has_value()) << Result->error().Message;
  EXPECT_GT(Api.StoreConnection.counters().Failures, 0U);
  EXPECT_EQ(Result->value().Entry.StoreRevision, 4);
}

TEST_F(RecordWriterTest, ReportsUnavailableWithoutTheStore) {
  Api.Store.setFault(StoreFault::Disconnect, {});
  EXPECT_EQ(Api.write(shopdeskWithSlots(5)).error().Kind,
            ErrorKind::Unavailable);
}

// Guards against an address claim that loses its age, and with it the address,
// when the record is written again.
TEST_F(RecordWriterTest, KeepsTheRevisionOfTheFirstClaim) {
  ASSERT_TRUE(Api.write(shopdeskWithSlots(5)).has_value());
  ASSERT_TRUE(Api.write(shopdeskWithSlots(6)).has_value());
  const auto &Config = Api.Balancer.records().findByName("shopdesk")->Config;
  EXPECT_EQ(Config.StoreRevision, 5);
  EXPECT_EQ(Config.AddressSince, 2);
}

// Guards against two concurrent claims of one address that are reported to
// neither writer.
TEST_F(RecordWriterTest, ConcurrentClaimsAreReportedToTheLaterWriter) {
  // With this delay, both reads are answered before either write is sent.
  Api.Store.setFault(StoreFault::None, std::chrono::milliseconds(50));
  std::optional<base::Result<RecordWriteResult>> First;
  std::optional<base::Result<RecordWriteResult>> Second;
  Api.Writer.write(
      addressClaim("gildenamt", 1),
      [&](base::Result<RecordWriteResult> R) { First = std::move(R); });
  Api.Writer.write(
      addressClaim("musterarchiv", 1),
      [&](base::Result<RecordWriteResult> R) { Second = std::move(R); });
  await(First);
  await(Second);
  ASSERT_TRUE(First->has_value() && Second->has_value());
  const bool FirstWins =
      First->value().Entry.StoreRevision < Second->value().Entry.StoreRevision;
  const auto &Later = FirstWins ? Second->value() : First->value();
  const std::string Earlier = FirstWins ? "gildenamt" : "musterarchiv";
  EXPECT_THAT(Later.ContestedWith, ElementsAre(Earlier));
  EXPECT_EQ(Api.Balancer.records().findByAddress({0x7f000a09, 1})->Service,
            Earlier);
  EXPECT_EQ(Api.write(addressClaim("neuheim", 1)).error().Kind,
            ErrorKind::AlreadyExists);
}

// Guards against an invalid stored record that cannot be replaced.
TEST_F(RecordWriterTest, ReplacesAnInvalidRecordOnlyByRevision) {
  storeDirectly("gildenamt", "{", 0);
  RecordWrite Write = addressClaim("gildenamt", 2);
  const auto Refused = Api.write(Write);
  ASSERT_TRUE(Refused.has_error());
  EXPECT_THAT(Refused.error().Message, HasSubstr("with if_revision 4"));
  Write.IfRevision = 4;
  EXPECT_TRUE(Api.write(Write).has_value());
}

// Guards against an unconditional write because if_revision has the wrong type.
TEST_F(RecordWriterTest, RejectsAnIfRevisionOfTheWrongType) {
  const Json::Value Response = Api.post(
      ApiFixture::BalancerControl,
      R"({"jsonrpc": "2.0", "id": 1, "method": "record.retire", "params":
        {"service": "fitvault", "if_revision": "2"}})",
      Credential::Token);
  EXPECT_THAT(Response["error"]["message"].asString(),
              HasSubstr("if_revision"));
  EXPECT_FALSE(Api.Balancer.records().findByName("fitvault")->Config.Retired);
}

} // namespace
} // namespace burdockstream::daemon
