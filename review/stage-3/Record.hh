// The record of a case: what was sent, answered and run, and which rules broke.
#ifndef STAGE_RECORD_HH
#define STAGE_RECORD_HH

#include "Loop.hh"

#include <fstream>

namespace stage {

class Record {
public:
  explicit Record(const std::string &Path) : File(Path), Start(nowMs()) {
    if (!File)
      throw StageError("cannot write " + Path);
  }
  void line(const std::string &Text) {
    File << (nowMs() - Start) << " " << Text << "\n";
  }
  void violation(const std::string &Rule, const std::string &Text) {
    ++Violations[Rule];
    line("BROKEN " + Rule + ": " + Text);
  }
  // An endpoint began to work on the request Id.
  void runs(const std::string &Id) { ++Runs[Id]; }
  int runsOf(const std::string &Id) const {
    const auto Found = Runs.find(Id);
    return Found == Runs.end() ? 0 : Found->second;
  }
  const std::map<std::string, int> &violations() const { return Violations; }
  void flush() { File.flush(); }

private:
  std::ofstream File;
  int64_t Start;
  std::map<std::string, int> Violations;
  std::map<std::string, int> Runs;
};

} // namespace stage

#endif
