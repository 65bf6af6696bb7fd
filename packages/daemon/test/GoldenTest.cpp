// Sends the requests in golden/ to the real RPC methods and compares the
// responses. The files are the examples of docs/ADMIN-API.md. To update them,
// run the test with BURDOCKSTREAM_WRITE_GOLDEN=1 and review the difference.
#include "ApiFixture.h"
#include "burdockstream/base/JsonText.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <set>

namespace burdockstream::daemon {
namespace {

const std::string Folder = "packages/daemon/test/golden";

std::vector<std::string> goldenFiles() {
  std::vector<std::string> Files;
  for (const auto &Entry : std::filesystem::directory_iterator(Folder))
    Files.push_back(Entry.path().string());
  std::sort(Files.begin(), Files.end());
  return Files;
}

Json::Value readGolden(const std::string &File) {
  const auto Text = base::readTextFile(File);
  EXPECT_TRUE(Text.has_value()) << File;
  const auto Doc = base::JsonDocument::parse(Text.value(), File);
  EXPECT_TRUE(Doc.has_value()) << Doc.error().Message;
  return Doc.value().root();
}

std::string accessName(admin::Access Access) {
  return Access == admin::Access::Team   ? "team"
         : Access == admin::Access::Peer ? "peer"
                                         : "anyone";
}

class GoldenTest : public ::testing::TestWithParam<std::string> {};

// Guards against an unintended change of the administration API, which its
// clients and documentation would not follow.
TEST_P(GoldenTest, ResponseMatchesGoldenFile) {
  Json::Value Golden = readGolden(GetParam());
  ApiFixture Api;
  const auto Control = Golden["role"] == "agent" ? ApiFixture::AgentControl
                                                 : ApiFixture::BalancerControl;
  const std::string Body = base::compactJson(Golden["request"]);
  const Json::Value Refused = Api.post(Control, Body, Credential::None);
  EXPECT_EQ(Refused["error"]["data"]["kind"], "permission_denied");
  const Json::Value Response = Api.post(
      Control, Body,
      Golden["access"] == "peer" ? Credential::Signature : Credential::Token);
  if (std::getenv("BURDOCKSTREAM_WRITE_GOLDEN")) {
    Golden["answer"] = Response;
    std::ofstream(GetParam()) << base::prettyJson(Golden);
  }
  EXPECT_EQ(base::prettyJson(Response), base::prettyJson(Golden["answer"]));
  EXPECT_EQ(Api.Transfers, Golden["access"] == "peer" ? 1 : 0);
}

INSTANTIATE_TEST_SUITE_P(
    Files, GoldenTest, ::testing::ValuesIn(goldenFiles()),
    [](const ::testing::TestParamInfo<std::string> &Info) {
      std::string Name = std::filesystem::path(Info.param).stem().string();
      for (char &C : Name)
        C = C == '.' ? '_' : C;
      return Name;
    });

// Guards against a method without an example, and against an example whose
// access level differs from that of the method.
TEST(GoldenCoverageTest, EveryMethodHasAnExample) {
  std::set<std::string> Documented;
  for (const std::string &File : goldenFiles()) {
    const Json::Value Golden = readGolden(File);
    Documented.insert(Golden["role"].asString() + " " +
                      Golden["request"]["method"].asString() + " " +
                      Golden["access"].asString());
  }
  ApiFixture Api;
  std::set<std::string> Served;
  for (const admin::RpcMethod &Method : Api.balancerRpcMethods())
    Served.insert("balancer " + Method.Name + " " + accessName(Method.Allowed));
  for (const admin::RpcMethod &Method : Api.agentRpcMethods())
    Served.insert("agent " + Method.Name + " " + accessName(Method.Allowed));
  EXPECT_EQ(Documented, Served);
}

} // namespace
} // namespace burdockstream::daemon
