#ifndef VERBENALEAD_BASE_BOOT_CLOCK_H_
#define VERBENALEAD_BASE_BOOT_CLOCK_H_

#include <ctime>

#include "base/time.h"

namespace verbenalead {

/// Returns the time since boot, including time spent suspended. The steady
/// clock stops while the host is suspended: measured by it, a lease that
/// expired during the suspension would still appear valid.
inline Duration BootNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return std::chrono::seconds(now.tv_sec) +
         std::chrono::nanoseconds(now.tv_nsec);
}

}  // namespace verbenalead

#endif  // VERBENALEAD_BASE_BOOT_CLOCK_H_
