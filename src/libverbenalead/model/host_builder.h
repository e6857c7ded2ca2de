#ifndef VERBENALEAD_MODEL_HOST_BUILDER_H_
#define VERBENALEAD_MODEL_HOST_BUILDER_H_

#include "model/host.h"

namespace verbenalead::model {

/// Builds a Host.
class HostBuilder {
 public:
  HostBuilder& Name(std::string name);
  HostBuilder& Role(HostRole role);
  HostBuilder& Region(std::string region);
  HostBuilder& DataCenter(std::string data_center);
  HostBuilder& Pool(std::string pool);
  HostBuilder& Peer(Endpoint peer);
  HostBuilder& Callers(Endpoint callers);
  HostBuilder& Leaving(bool leaving);

  Host Build() const { return m_host; }

 private:
  Host m_host;
};

}  // namespace verbenalead::model

#endif  // VERBENALEAD_MODEL_HOST_BUILDER_H_
