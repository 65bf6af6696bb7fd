#include "burdockstream/base/JsonText.h"
#include "burdockstream/records/RecordParser.h"
#include "burdockstream/records/RecordRules.h"
#include "burdockstream/settings/DaemonSettings.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <set>

namespace burdockstream::settings {
namespace {

struct Deployment {
  std::string Folder;
  std::set<std::string> FailureDomains;
  std::set<std::string> Services;
  uint16_t Slots;
};

const Deployment Deployments[] = {
    {"examples/bc-interior",
     {"bc-kam", "bc-kel", "bc-pg"},
     {"shopdesk", "fitvault"},
     2},
    {"examples/mittelland",
     {"bern-nord", "bern-sued", "thun", "burgdorf"},
     {"gildenamt", "musterarchiv"},
     3},
};

std::vector<DaemonSettings> loadAll(const std::string &Folder) {
  std::vector<DaemonSettings> All;
  for (const auto &File : std::filesystem::directory_iterator(Folder)) {
    if (File.path().extension() != ".json")
      continue;
    const auto Settings = loadSettings(File.path().string());
    EXPECT_TRUE(Settings.has_value()) << Settings.error().Message;
    if (Settings.has_value())
      All.push_back(Settings.value());
  }
  return All;
}

bool isLoopback(base::SocketAddress Address) {
  return Address.Ip >> 16 == 0x7f00;
}

// Guards against example settings that the parser rejects or that contradict
// each other within one deployment.
TEST(ExamplesTest, SettingsOfDeploymentAreConsistent) {
  for (const Deployment &D : Deployments) {
    const auto All = loadAll(D.Folder);
    std::set<std::string> Domains;
    std::set<std::string> Services;
    std::set<base::SocketAddress> Addresses;
    ASSERT_FALSE(All.empty());
    for (const DaemonSettings &Settings : All) {
      EXPECT_TRUE(isLoopback(Settings.Data) && isLoopback(Settings.Control));
      EXPECT_TRUE(Addresses.insert(Settings.Data).second);
      EXPECT_TRUE(Addresses.insert(Settings.Control).second);
      EXPECT_TRUE(D.FailureDomains.contains(Settings.FailureDomain));
      EXPECT_EQ(Settings.HashSeed, All[0].HashSeed);
      EXPECT_EQ(Settings.Entries.size(), All[0].Entries.size());
      EXPECT_EQ(signingKey(Settings.DatagramKeys).Bytes,
                signingKey(All[0].DatagramKeys).Bytes);
      if (Settings.Role == Role::Balancer)
        Domains.insert(Settings.FailureDomain);
      else
        Services.insert(Settings.Agent->Service);
    }
    EXPECT_EQ(Domains, D.FailureDomains);
    EXPECT_EQ(Services, D.Services);
  }
}

// Guards against example records that the rules for writes reject.
TEST(ExamplesTest, RecordsOfDeploymentPassTheRules) {
  for (const Deployment &D : Deployments) {
    records::RecordSet Set;
    for (const std::string &Service : D.Services) {
      const std::string Path = D.Folder + "/records/" + Service + ".json";
      const auto Text = base::readTextFile(Path);
      ASSERT_TRUE(Text.has_value()) << Path;
      const auto Config = records::parseRecord(Text.value(), Path);
      ASSERT_TRUE(Config.has_value()) << Config.error().Message;
      EXPECT_EQ(Config.value().SlotsPerEndpoint, D.Slots);
      EXPECT_EQ(Config.value().ConnectionsPerEndpoint, 2000U);
      for (const auto &Share : Config.value().DomainShares)
        EXPECT_TRUE(D.FailureDomains.contains(Share.FailureDomain)) << Path;
      const auto Outcome =
          records::checkWrite(Set, Config.value(), Config.value().Team);
      EXPECT_TRUE(Outcome.has_value()) << Outcome.error().Message;
      EXPECT_TRUE(Set.apply(Service, 1, Text.value()).has_value());
    }
  }
}

} // namespace
} // namespace burdockstream::settings
