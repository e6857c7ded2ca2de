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

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_TRANSFER_DIGEST_READ_ORDER_H_
