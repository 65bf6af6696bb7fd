#include "burdockstream/ctl/Table.h"
#include "burdockstream/ctl/ExitCode.h"

#include <gtest/gtest.h>

namespace burdockstream::ctl {
namespace {

const Table Services = {
    {"service", "slots", "address"},
    {{"shopdesk", 2, "127.0.10.1:5683"}, {"fitvault", 12, Json::Value()}}};

// Guards against rows that are not aligned with their header.
TEST(TableTest, AlignsColumns) {
  EXPECT_EQ(formatTable(Services, Format::Table),
            "SERVICE   SLOTS  ADDRESS\n"
            "shopdesk      2  127.0.10.1:5683\n"
            "fitvault     12  -\n");
}

// Guards against numbers that become strings in JSON output.
TEST(TableTest, JsonKeepsTypes) {
  EXPECT_EQ(formatTable(Services, Format::Json),
            "[\n  {\n    \"address\" : \"127.0.10.1:5683\",\n"
            "    \"service\" : \"shopdesk\",\n    \"slots\" : 2\n  },\n"
            "  {\n    \"address\" : null,\n    \"service\" : \"fitvault\",\n"
            "    \"slots\" : 12\n  }\n]\n");
  EXPECT_EQ(formatTable({{"a"}, {}}, Format::Json), "[]\n");
}

// Guards against a change of the codes and names, on which operators' scripts
// depend.
TEST(ExitCodeTest, CodesAreStable) {
  std::string Text;
  for (const ExitCodeInfo &Info : exitCodes())
    Text += std::to_string(static_cast<int>(Info.Code)) +
            std::string(Info.Name) + " ";
  EXPECT_EQ(Text, "0ok 1usage 2invalid_input 3not_found 4conflict "
                  "5permission_denied 6unavailable 7outcome_unknown "
                  "8not_in_force ");
  EXPECT_EQ(exitCodeOf(base::ErrorKind::AlreadyExists), ExitCode::Conflict);
  EXPECT_EQ(exitCodeOf(base::ErrorKind::OutcomeUnknown),
            ExitCode::OutcomeUnknown);
}

} // namespace
} // namespace burdockstream::ctl
