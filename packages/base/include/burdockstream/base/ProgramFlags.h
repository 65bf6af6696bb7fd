// The command line of a program: --help shows the program's own flags, without
// those of the libraries that it links.
#ifndef BURDOCKSTREAM_BASE_PROGRAMFLAGS_H
#define BURDOCKSTREAM_BASE_PROGRAMFLAGS_H

#include <cstdlib>
#include <gflags/gflags.h>
#include <iostream>
#include <string>
#include <vector>

DECLARE_bool(help);
DECLARE_bool(helpfull);
DECLARE_bool(helpshort);

namespace burdockstream::base {

// Returns Usage and the flags that SourceFile defines, one a line. Thread
// safety: any thread.
inline std::string helpText(const std::string &Usage,
                            const std::string &SourceFile) {
  std::string Text = Usage + "\nFlags:\n";
  std::vector<gflags::CommandLineFlagInfo> Flags;
  gflags::GetAllFlags(&Flags);
  for (const gflags::CommandLineFlagInfo &Flag : Flags)
    if (Flag.filename == SourceFile)
      Text += "  --" + Flag.name +
              (Flag.default_value.empty() ? "" : "=" + Flag.default_value) +
              "\n      " + Flag.description + "\n";
  return Text;
}

// Parses the flags and removes them from the arguments. Ends the program for
// --help, with exit code 0, and for a wrong flag, with 1. SourceFile is the
// __FILE__ that defines the flags. Thread safety: call once, from main().
inline void parseProgramFlags(const std::string &Usage,
                              const std::string &SourceFile, int *Argc,
                              char ***Argv) {
  gflags::SetUsageMessage(Usage);
  gflags::ParseCommandLineNonHelpFlags(Argc, Argv, true);
  if (FLAGS_help || FLAGS_helpshort || FLAGS_helpfull) {
    std::cout << helpText(Usage, SourceFile);
    std::exit(EXIT_SUCCESS);
  }
  gflags::HandleCommandLineHelpFlags(); // --version
}

} // namespace burdockstream::base

#endif
