#include "sidecar/program_settings.h"

#include <sys/resource.h>

#include <algorithm>

#include "admin/admin_api.h"
#include "admin/operator_api.h"
#include "dns/service.h"
#include "sidecar/peers_link.h"

namespace mothrack::sidecar {
namespace {

// Limit of open descriptors if none is configured: the usual soft limit of a process.
constexpr std::size_t kDefaultSockets = 1024;

}  // namespace

std::size_t ProgramSettings::sockets() const {
  rlimit limit{};
  std::size_t sockets = platform ? platform->sockets : kDefaultSockets;
  if (file && file->sockets) sockets = platform ? std::min(sockets, *file->sockets) : *file->sockets;
  if (::getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY) {
    sockets = std::min<std::size_t>(sockets, limit.rlim_cur);
  }
  return sockets;
}

std::size_t ProgramSettings::fixed_descriptors() const {
  std::size_t fixed = 0;
  if (file && file->dns) fixed += dns::Service::FixedDescriptors(*file->dns);
  if (file && file->admin) fixed += admin::AdminApi::kFixedDescriptors;
  if (file) fixed += PeersLink::FixedDescriptors(*file);
  if (platform && platform->ops) fixed += admin::OperatorApi::kFixedDescriptors;
  return fixed;
}

ProgramSettings ReadProgramSettings(const std::optional<std::string>& path,
                                    const std::function<const char*(const char*)>& variable) {
  ProgramSettings settings;
  if (path) settings.file = LoadOperatorFile(*path);
  bool platform = !path;
  for (const char* name : {"LB_NAME", "LB_LISTEN", "LB_DISCOVERY", "LB_CONFIG"}) {
    const char* value = variable(name);
    platform = platform || (value != nullptr && *value != '\0');
  }
  if (platform) settings.platform = LoadConfig(variable);
  const char* shared = variable("TMPDIR");
  if (platform && shared != nullptr && *shared != '\0') {
    settings.shared_path =
        std::string(shared) + "/mothrack-" + HashOf(variable("LB_LISTEN") + settings.name());
  }
  if (!platform && !settings.file->dns) {
    throw ConfigError(*path + ": configures nothing to start; add [dns], or set the LB_* variables");
  }
  return settings;
}

}  // namespace mothrack::sidecar
