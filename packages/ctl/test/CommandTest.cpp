#include "burdockstream/ctl/Command.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <gflags/gflags.h>

namespace burdockstream::ctl {
namespace {

using ::testing::HasSubstr;

FlagValues flagsWithServer() {
  FlagValues Flags;
  Flags.Server = "127.0.1.1:7001";
  Flags.TokenFile = "token";
  return Flags;
}

std::string errorOf(const std::vector<std::string> &Words,
                    const FlagValues &Flags = flagsWithServer()) {
  const auto Command = parseCommand(Words, Flags);
  return Command.has_error() ? Command.error().Message : "accepted";
}

// Guards against a verb that no command line selects.
TEST(CommandTest, ParsesEveryVerb) {
  const auto VerbOf = [](const std::vector<std::string> &Words) {
    return parseCommand(Words, flagsWithServer()).value().Verb;
  };
  EXPECT_EQ(VerbOf({"record", "put", "f.json"}), Verb::RecordPut);
  EXPECT_EQ(VerbOf({"record", "retire", "shopdesk"}), Verb::RecordRetire);
  EXPECT_EQ(VerbOf({"record", "get", "shopdesk"}), Verb::RecordGet);
  EXPECT_EQ(VerbOf({"record", "list"}), Verb::RecordList);
  EXPECT_EQ(VerbOf({"record", "validate", "a", "b"}), Verb::RecordValidate);
  EXPECT_EQ(VerbOf({"record", "migrate", "a"}), Verb::RecordMigrate);
  EXPECT_EQ(VerbOf({"status"}), Verb::Status);
  EXPECT_EQ(VerbOf({"endpoints", "shopdesk"}), Verb::Endpoints);
  EXPECT_EQ(VerbOf({"drain", "shopdesk", "127.0.2.1:7000"}), Verb::Drain);
  EXPECT_EQ(VerbOf({"metrics"}), Verb::Metrics);
  EXPECT_EQ(parseCommand({"record", "validate", "a", "b"}, {})
                .value()
                .Arguments.size(),
            2U);
}

// Guards against running a command whose command line is invalid.
TEST(CommandTest, RejectsInvalidCommandLines) {
  EXPECT_EQ(errorOf({}), "no command is given; see --help");
  EXPECT_EQ(errorOf({"record", "drop"}),
            "unknown command 'record drop'; see --help");
  EXPECT_EQ(errorOf({"record", "get"}),
            "wrong number of arguments; usage: burdockstreamctl record "
            "get SERVICE");
  EXPECT_THAT(errorOf({"status", "now"}), HasSubstr("usage: burdockstreamctl"));
  EXPECT_THAT(errorOf({"endpoints", "Shop"}),
              HasSubstr("'Shop' is not a valid service name"));
  EXPECT_THAT(errorOf({"status"}, {}), HasSubstr("add --server="));
  FlagValues NoToken = flagsWithServer();
  NoToken.TokenFile = "";
  EXPECT_THAT(errorOf({"record", "put", "f"}, NoToken),
              HasSubstr("add --token_file="));
}

// Guards against a flag that is accepted and then ignored.
TEST(CommandTest, RejectsFlagsOfOtherCommands) {
  FlagValues Flags = flagsWithServer();
  Flags.IfRevision = 3;
  EXPECT_THAT(errorOf({"status"}, Flags),
              HasSubstr("--if_revision: only valid with record put"));
  EXPECT_THAT(errorOf({"drain", "shopdesk", "127.0.2.1:1"}, Flags),
              HasSubstr("--if_revision: only valid with record put"));
  Flags.IfRevision = -2;
  EXPECT_THAT(errorOf({"record", "put", "f"}, Flags),
              HasSubstr("must be a revision as printed"));
  Flags = flagsWithServer();
  Flags.Wait = true;
  EXPECT_THAT(errorOf({"record", "list"}, Flags), HasSubstr("--wait: "));
  Flags = flagsWithServer();
  Flags.Undo = true;
  EXPECT_THAT(errorOf({"record", "put", "f"}, Flags), HasSubstr("--undo: "));
  Flags = flagsWithServer();
  Flags.Server = "127.0.1.1:7001,balancer";
  EXPECT_THAT(errorOf({"status"}, Flags),
              HasSubstr("--server: 'balancer' is not"));
  Flags = flagsWithServer();
  Flags.TimeoutMilliseconds = 0;
  EXPECT_THAT(errorOf({"status"}, Flags), HasSubstr("--timeout_ms"));
  Flags = flagsWithServer();
  Flags.WaitTimeoutMilliseconds = 0;
  EXPECT_THAT(errorOf({"status"}, Flags), HasSubstr("--wait_timeout_ms"));
}

// Guards against a flag that is defined but not copied to the command.
TEST(CommandTest, CopiesGflagsToTheCommand) {
  const gflags::FlagSaver Saver;
  std::vector<std::string> Words = {"burdockstreamctl",
                                    "record",
                                    "put",
                                    "--json",
                                    "f.json",
                                    "--if_revision=0",
                                    "--server=127.0.1.1:7001,127.0.1.2:7001",
                                    "--token_file=t",
                                    "--wait",
                                    "--wait_timeout_ms=4000",
                                    "--timeout_ms=900"};
  std::vector<char *> Argv;
  Argv.reserve(Words.size() + 1);
  for (std::string &Word : Words)
    Argv.push_back(Word.data());
  Argv.push_back(nullptr);
  const auto Parsed =
      parseCommandLine(static_cast<int>(Words.size()), Argv.data());
  ASSERT_TRUE(Parsed.has_value()) << Parsed.error().Message;
  EXPECT_EQ(Parsed.value().Arguments, (std::vector<std::string>{"f.json"}));
  EXPECT_EQ(Parsed.value().Format, Format::Json);
  EXPECT_EQ(Parsed.value().IfRevision, 0);
  EXPECT_EQ(Parsed.value().TokenFile, "t");
  EXPECT_EQ(Parsed.value().Timeout, std::chrono::milliseconds(900));
  EXPECT_EQ(Parsed.value().Wait, std::chrono::milliseconds(4000));
  ASSERT_EQ(Parsed.value().Servers.size(), 2U);
  EXPECT_EQ(base::toString(Parsed.value().Servers[1]), "127.0.1.2:7001");
}

// Guards against a command or an exit code that is missing from the help text.
TEST(CommandTest, UsageTextListsCommandsAndExitCodes) {
  EXPECT_THAT(usageText(), HasSubstr("burdockstreamctl record retire SERVICE"));
  EXPECT_THAT(usageText(), HasSubstr("  8  the record is written, but --wait"));
}

} // namespace
} // namespace burdockstream::ctl
