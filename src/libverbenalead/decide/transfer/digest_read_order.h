#ifndef VERBENALEAD_DECIDE_TRANSFER_DIGEST_READ_ORDER_H_
#define VERBENALEAD_DECIDE_TRANSFER_DIGEST_READ_ORDER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"

namespace verbenalead::decide {

/// Number of hosts that read the chunk digests of a version from the origin at
/// once. The other hosts request the digests from these.
constexpr size_t kDigestReaders = 4;

/// Returns `hosts` in the order in which they may read the digests of `version`
/// from the origin. Hosts with the same host list compute the same order.
std::vector<std::string> DigestReadOrder(std::vector<std::string> hosts,
                                         uint64_t version);

/// How long the host at position `position` of that order requests the digests
/// from other hosts before it may read them from the origin.
///
/// Load: an origin that does not answer for seconds while no host has the
/// digests. Harm: when all hosts read from the origin after one second, their
/// requests delayed the first chunks by a second once the origin answered
/// again. Each time the number of hosts that may read doubles, the added delay
/// doubles too: few hosts read at once, and the failure of the first ones does
/// not block the others.
Duration DigestReadDelay(size_t position);

/// Where a host requests digests.
enum class DigestSource { kHosts, kOrigin };

/// The sources from which the host at position `position` requests the digests,
/// in this order, after it has lacked them for `waited`. `origin_first`: hosts
/// prepare for outages of the origin.
///
/// Load: a version is declared while the links of hosts and of the origin are
/// busy with chunks of an older one. Harm: the hosts that read from the origin
/// ask each other first, which takes hundreds of milliseconds and yields
/// nothing. If the origin becomes unavailable meanwhile, no host has the
/// digests, and the first chunk waits for them after the return.
std::vector<DigestSource> DigestSources(size_t position,
                                        Duration waited,
                                        bool origin_first);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_TRANSFER_DIGEST_READ_ORDER_H_
