// Serializes the programs that use the addresses of SoakParts.h.
#ifndef BURDOCKSTREAM_FLOWSOAK_MACHINELOCK_H
#define BURDOCKSTREAM_FLOWSOAK_MACHINELOCK_H

#include <cerrno>
#include <fcntl.h>
#include <filesystem>
#include <glog/logging.h>
#include <sys/file.h>
#include <unistd.h>

namespace burdockstream::flowsoak {

// Waits until no other soak runs on this machine: all use the same addresses.
class MachineLock {
public:
  MachineLock()
      : File(::open((std::filesystem::temp_directory_path() /
                     "burdockstream-flow-soak.lock")
                        .c_str(),
                    O_CREAT | O_RDONLY | O_CLOEXEC, 0666)) {
    PCHECK(File >= 0);
    if (::flock(File, LOCK_EX | LOCK_NB) == 0)
      return;
    LOG(INFO) << "waits for the end of another soak on this machine";
    while (::flock(File, LOCK_EX) != 0)
      PCHECK(errno == EINTR);
  }
  ~MachineLock() { ::close(File); }
  MachineLock(const MachineLock &) = delete;
  MachineLock &operator=(const MachineLock &) = delete;

private:
  int File;
};

} // namespace burdockstream::flowsoak

#endif
