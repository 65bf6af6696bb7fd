#include "burdockstream/base/JsonText.h"
#include "burdockstream/settings/DaemonSettings.h"

#include <gtest/gtest.h>

#include <filesystem>

namespace burdockstream::settings {
namespace {

// Guards against an error message that no longer has its line or its remedy:
// the message for each NAME.json must equal the text in NAME.txt.
TEST(GoldenErrorsTest, MessagesMatchGoldenFiles) {
  size_t Count = 0;
  for (const auto &File :
       std::filesystem::directory_iterator("packages/settings/test/golden")) {
    auto Path = File.path();
    if (Path.extension() != ".json")
      continue;
    ++Count;
    const auto Text = base::readTextFile(Path.string());
    ASSERT_TRUE(Text.has_value());
    const auto Settings = parseSettings(Text.value(), Path.filename().string());
    ASSERT_TRUE(Settings.has_error()) << Path;
    const auto Golden =
        base::readTextFile(Path.replace_extension("txt").string());
    EXPECT_EQ(Settings.error().Message + "\n",
              Golden.has_value() ? Golden.value() : "")
        << Path;
  }
  EXPECT_EQ(Count, 7U);
}

} // namespace
} // namespace burdockstream::settings
