#ifndef VERBENALEAD_MODEL_STORE_TIME_H_
#define VERBENALEAD_MODEL_STORE_TIME_H_

#include <cstdint>

#include "base/time.h"

namespace verbenalead::model {

/// A time of the platform's store. Its clock is steady within an era, but need
/// not go on from one era to the next.
struct StoreTime {
  uint64_t m_era = 0;
  Duration m_time{};

  friend bool operator==(const StoreTime&, const StoreTime&) = default;
};

}  // namespace verbenalead::model

#endif  // VERBENALEAD_MODEL_STORE_TIME_H_
