#include "daemon/answer_checksum.h"

#include "base/digest.h"
#include "peer/header_names.h"

namespace verbenalead::daemon {

void AnswerCheck::Add(const std::string& piece) {
  m_hasher.Update(piece);
  m_length += piece.size();
}

void AnswerCheck::Fill(wire::Headers& trailers) {
  trailers[peer::kLength] = std::to_string(m_length);
  trailers[peer::kSha256] = ToString(m_hasher.Finish());
}

bool AnswerCheck::Agrees(const wire::Headers& trailers) {
  return wire::Get(trailers, peer::kLength) == std::to_string(m_length) &&
         wire::Get(trailers, peer::kSha256) == ToString(m_hasher.Finish());
}

}  // namespace verbenalead::daemon
