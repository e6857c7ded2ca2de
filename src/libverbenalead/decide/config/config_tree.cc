#include "decide/config/config_tree.h"

#include <algorithm>

#include "decide/membership/rendezvous.h"

namespace verbenalead::decide {
namespace {

constexpr Duration kMinOrphanInterval = 1s;

size_t RankOf(const std::vector<std::string>& ranked, const std::string& self) {
  const auto found = std::find(ranked.begin(), ranked.end(), self);
  return static_cast<size_t>(found - ranked.begin());
}

}  // namespace

std::vector<std::string> RankEntries(std::vector<std::string> entries) {
  std::sort(entries.begin(), entries.end(),
            [](const std::string& a, const std::string& b) {
              const uint64_t hash_a = MixHash(a, 0);
              const uint64_t hash_b = MixHash(b, 0);
              return hash_a != hash_b ? hash_a > hash_b : a < b;
            });
  return entries;
}

bool IsTableReader(const std::vector<std::string>& ranked,
                   const std::string& self) {
  return RankOf(ranked, self) < kConfigReaders;
}

std::string ParentOfEntry(const std::vector<std::string>& ranked,
                          const std::string& self,
                          size_t stream,
                          uint64_t failures) {
  // An entry that is not listed yet ranks last.
  const size_t rank = RankOf(ranked, self);
  const size_t readers = std::min(kConfigReaders, ranked.size());
  if (rank < readers) {
    if (readers == 1)
      return "";
    const size_t step = 1 + (stream + failures) % (readers - 1);
    return ranked[(rank + step) % readers];
  }
  if (ranked.empty())
    return "";
  if (stream == 0 && failures == 0)
    return ranked[(rank - readers) / kConfigFanOut];
  return ranked[MixHash(self, stream + kConfigStreams * failures) % rank];
}

std::string ParentOfTarget(const std::vector<std::string>& ranked,
                           const std::string& self,
                           size_t stream,
                           uint64_t failures) {
  if (ranked.empty())
    return "";
  const uint64_t start = MixHash(self, 0);
  return ranked[(start + stream + kConfigStreams * failures) % ranked.size()];
}

Duration OrphanReadInterval(size_t entries) {
  const Duration spread =
      Duration(1s) * static_cast<int64_t>(entries) / kOrphanReadsPerSecond;
  return std::max(kMinOrphanInterval, spread);
}

}  // namespace verbenalead::decide
