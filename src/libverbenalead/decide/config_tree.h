#ifndef VERBENALEAD_DECIDE_CONFIG_TREE_H_
#define VERBENALEAD_DECIDE_CONFIG_TREE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"

namespace verbenalead::decide {

/// Entries that read the table in turn. With two reads a second each they cost
/// the table six of its two thousand reads a second, whatever the fleet's size;
/// three, so that the loss of one host leaves two.
constexpr size_t kConfigReaders = 3;
/// Entries that hear from one entry. 630 entries make a tree of four levels.
constexpr size_t kConfigFanOut = 8;
/// Streams by which each process hears of changes. Two, so that one silent or
/// paused sender delays nothing.
constexpr size_t kConfigSlots = 2;
/// Reads a second that all entries together take on while none of them hears
/// from another; with the readers' own they stay under 50.
constexpr int64_t kOrphanReadsPerSecond = 30;

/// `entries` in the order in which all processes rank them, whoever asks.
std::vector<std::string> RankEntries(std::vector<std::string> entries);

/// Whether entry `self` reads the table in turn. `ranked` is from RankEntries.
bool ReadsTable(const std::vector<std::string>& ranked,
                const std::string& self);

/// The entry from which entry `self` hears in `slot` after `failures` others
/// did not answer. It always ranks above `self`, so that the streams make no
/// circle and each chain ends at a reader; readers hear from one another. ""
/// if there is none.
std::string ParentOfEntry(const std::vector<std::string>& ranked,
                          const std::string& self,
                          size_t stream,
                          uint64_t failures);

/// The entry from which target `self` hears; targets spread evenly over all.
std::string ParentOfTarget(const std::vector<std::string>& ranked,
                           const std::string& self,
                           size_t stream,
                           uint64_t failures);

/// How long an entry that hears from nobody waits between two reads.
Duration OrphanInterval(size_t entries);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_CONFIG_TREE_H_
