#ifndef VERBENALEAD_DECIDE_DIGEST_READERS_H_
#define VERBENALEAD_DECIDE_DIGEST_READERS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"

namespace verbenalead::decide {

/// Hosts that ask the origin for the digests of a version at once; the others
/// ask them.
constexpr size_t kDigestReaders = 4;

/// `hosts` in the order in which they turn to the origin for the digests of
/// `version`; the same on all that know the same hosts.
std::vector<std::string> DigestOrder(std::vector<std::string> hosts,
                                     uint64_t version);

/// How long the host at `place` of that order tries the others first.
///
/// Load: an origin that is away for seconds, and digests that nobody has. Harm:
/// hosts that all turned to it after a second held up the first chunks by a
/// second when it came back. Twice as many ask each time the wait has doubled,
/// so that the death of the first ones is passed over all the same.
Duration DigestPatience(size_t place);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_DIGEST_READERS_H_
