#include "decide/transfer/digest_read_order.h"

#include <algorithm>
#include <utility>

#include "decide/membership/rendezvous.h"

namespace verbenalead::decide {
namespace {

/// Delay of the hosts that follow directly after the first kDigestReaders.
constexpr Duration kFirstDelay = 1s;

}  // namespace

std::vector<std::string> DigestReadOrder(std::vector<std::string> hosts,
                                         uint64_t version) {
  std::sort(hosts.begin(), hosts.end());
  hosts.erase(std::unique(hosts.begin(), hosts.end()), hosts.end());
  std::stable_sort(hosts.begin(), hosts.end(),
                   [version](const std::string& a, const std::string& b) {
                     return MixHash(a, version) > MixHash(b, version);
                   });
  return hosts;
}

Duration DigestReadDelay(size_t position) {
  Duration delay{};
  Duration step = kFirstDelay;
  for (size_t readers = kDigestReaders; readers <= position; readers *= 2) {
    delay += step;
    step *= 2;
  }
  return delay;
}

std::vector<DigestSource> DigestSources(size_t position,
                                        Duration waited,
                                        bool origin_first) {
  if (waited < DigestReadDelay(position))
    return {DigestSource::kHosts};
  if (origin_first && position < kDigestReaders)
    return {DigestSource::kOrigin, DigestSource::kHosts};
  return {DigestSource::kHosts, DigestSource::kOrigin};
}

}  // namespace verbenalead::decide
