#ifndef VERBENALEAD_BASE_BOOT_CLOCK_H_
#define VERBENALEAD_BASE_BOOT_CLOCK_H_

#include <ctime>

#include "base/time.h"

namespace verbenalead {

/// Time since boot, the time for which the host was suspended included. The
/// steady clock leaves that out: a lease measured by it would still seem to run
/// on a host that slept past its end.
inline Duration BootNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return std::chrono::seconds(now.tv_sec) +
         std::chrono::nanoseconds(now.tv_nsec);
}

}  // namespace verbenalead

#endif  // VERBENALEAD_BASE_BOOT_CLOCK_H_
