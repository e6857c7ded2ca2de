#include "daemon/answer_checksum.h"

#include "base/digest.h"
#include "peer/header_names.h"

namespace verbenalead::daemon {

void AnswerChecksum::Add(const std::string& piece) {
  m_hasher.Update(piece);
  m_length += piece.size();
}

void AnswerChecksum::WriteTrailers(wire::Headers& trailers) {
  trailers[peer::kLength] = std::to_string(m_length);
  trailers[peer::kSha256] = ToString(m_hasher.Finish());
}

bool AnswerChecksum::MatchesTrailers(const wire::Headers& trailers) {
  return wire::Get(trailers, peer::kLength) == std::to_string(m_length) &&
         wire::Get(trailers, peer::kSha256) == ToString(m_hasher.Finish());
}

}  // namespace verbenalead::daemon
