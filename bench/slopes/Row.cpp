#include "Row.h"

#include <cstdio>

namespace burdockstream::bench {

double Row::slope() const {
  if (Points.size() < 2)
    return 0;
  double SumX = 0;
  double SumY = 0;
  for (const auto &[X, Y] : Points) {
    SumX += X;
    SumY += Y;
  }
  const double Count = static_cast<double>(Points.size());
  double Products = 0;
  double Squares = 0;
  for (const auto &[X, Y] : Points) {
    Products += (X - SumX / Count) * (Y - SumY / Count);
    Squares += (X - SumX / Count) * (X - SumX / Count);
  }
  return Squares > 0 ? Products / Squares : 0;
}

void printTable(const Rows &All) {
  for (const Row &Entry : All) {
    std::printf("%-46s %-12s %s:", Entry.Name.c_str(), Entry.Unit.c_str(),
                Entry.SizeUnit.c_str());
    for (const auto &[Size, Value] : Entry.Points)
      std::printf(" %.6g=%.4g", Size, Value);
    if (Entry.Points.size() > 1 && Entry.Unit != "calls")
      std::printf("; slope %.4g", Entry.slope());
    std::printf("\n");
  }
}

void printJson(const Rows &All) {
  for (const Row &Entry : All) {
    std::printf(
        "{\"name\":\"%s\",\"unit\":\"%s\",\"range\":\"%s\",\"points\":[",
        Entry.Name.c_str(), Entry.Unit.c_str(), Entry.SizeUnit.c_str());
    const char *Separator = "";
    for (const auto &[Size, Value] : Entry.Points) {
      std::printf("%s[%.9g,%.6g]", Separator, Size, Value);
      Separator = ",";
    }
    std::printf("],\"slope\":%.6g}\n", Entry.slope());
  }
}

} // namespace burdockstream::bench
