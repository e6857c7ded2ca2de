#ifndef VERBENALEAD_DECIDE_CONFIG_CONFIG_TREE_H_
#define VERBENALEAD_DECIDE_CONFIG_CONFIG_TREE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"

namespace verbenalead::decide {

/// Number of entries that read the configuration table regularly. At two reads
/// a second each, they use six of the table's two thousand reads a second,
/// whatever the size of the fleet. Three, so that the loss of one host leaves
/// two.
constexpr size_t kConfigReaders = 3;
/// Number of entries that receive changes from the same entry. With eight, 630
/// entries make a tree of four levels.
constexpr size_t kConfigFanOut = 8;
/// Number of streams over which each process receives changes. Two, so that one
/// unresponsive or paused sender delays nothing.
constexpr size_t kConfigStreams = 2;
/// Limit for the reads per second of all entries together while no entry
/// receives changes from another. With the regular reads of the readers, the
/// total stays under 50.
constexpr int64_t kOrphanReadsPerSecond = 30;

/// Sorts `entries` into the order that every process computes from the same
/// list.
std::vector<std::string> RankEntries(std::vector<std::string> entries);

/// Whether entry `self` is one of the kConfigReaders. `ranked` is from
/// RankEntries.
bool IsTableReader(const std::vector<std::string>& ranked,
                   const std::string& self);

/// The entry from which entry `self` receives changes over `stream` after
/// `failures` other entries did not answer; "" if there is none. It always
/// ranks above `self`, so that the streams form no cycle and each chain ends at
/// a reader. Readers receive changes from one another.
std::string ParentOfEntry(const std::vector<std::string>& ranked,
                          const std::string& self,
                          size_t stream,
                          uint64_t failures);

/// The entry from which target `self` receives changes. Targets are spread
/// evenly over all entries.
std::string ParentOfTarget(const std::vector<std::string>& ranked,
                           const std::string& self,
                           size_t stream,
                           uint64_t failures);

/// Pause between two reads of the table by an entry that receives changes from
/// no other entry.
Duration OrphanReadInterval(size_t entries);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_CONFIG_CONFIG_TREE_H_
