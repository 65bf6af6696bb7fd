// Plays a case on the stage. Usage: stage CASE FOLDER RECORD SEED, from the
// root of the repository; the environment variable TROUBLE=0 leaves the
// disruption out. Ends with 1 if a rule was broken, 0 if all held, 2 if the
// case could not run.
#include "Cases.hh"

#include <iostream>

int main(int argc, char **argv) {
  if (argc != 5) {
    std::cerr << "usage: stage CASE FOLDER RECORD SEED\n";
    return 2;
  }
  const char *Trouble = std::getenv("TROUBLE");
  try {
    const stage::CaseInput In{argv[2], argv[3],
                              std::strtoull(argv[4], nullptr, 10),
                              !Trouble || std::string(Trouble) != "0"};
    return stage::runCase(argv[1], In);
  } catch (const std::exception &Problem) {
    std::cerr << "the case could not run: " << Problem.what() << "\n";
    return 2;
  }
}
