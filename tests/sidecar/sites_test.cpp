// The deployments in deploy/sites/: their configuration is read as written, and no value of another
// deployment replaces a damaged or missing one.
#include <toml++/toml.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "discovery/discovery.h"
#include "gtest/gtest.h"
#include "runtime/clock.h"
#include "sidecar/config.h"

namespace mothrack {
namespace {

using balancer::Effect;
using balancer::KeyScope;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Pointer = json::json_pointer;

std::string PathOf(const std::string& site, const std::string& name) {
  return MOTHRACK_SITES "/" + site + "/" + name;
}

json ReadJson(const std::string& path) {
  std::ifstream stream(path);
  return json::parse(stream);
}

class ConfigFile {
 public:
  explicit ConfigFile(const json& content)
      : path_(std::filesystem::temp_directory_path() / ("site-" + std::to_string(::getpid()) + ".json")) {
    std::ofstream(path_) << content;
  }
  ~ConfigFile() { std::filesystem::remove(path_); }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// Reads the configuration as a sidecar does that the platform started, with `content` as the LB_CONFIG file.
sidecar::Config Load(const json& content) {
  const ConfigFile file(content);
  const auto variable = [&file](const char* name) -> const char* {
    const std::string_view wanted(name);
    if (wanted == "LB_NAME") return "n1";
    if (wanted == "LB_LISTEN") return "127.0.0.1:9000";
    if (wanted == "LB_DISCOVERY") return "127.0.0.1:8500";
    return wanted == "LB_CONFIG" ? file.path().c_str() : nullptr;
  };
  return sidecar::LoadConfig(variable);
}

// The error for a configuration, checked to be one line that names the file; "accepted" if there is none.
std::string LoadError(const json& file) {
  try {
    Load(file);
  } catch (const sidecar::ConfigError& e) {
    const std::string what = e.what();
    EXPECT_TRUE(what.starts_with("LB_CONFIG: ")) << what;
    EXPECT_EQ(what.find('\n'), std::string::npos) << what;
    return what;
  }
  return "accepted";
}

// Whether the error names exactly `path`, not a longer path that starts with it.
bool Names(const std::string& error, const std::string& path) {
  return (error + ' ').find(' ' + path + ' ') != std::string::npos;
}

// A JSON pointer as the path in an error: "/settings/Classes/1/Name" becomes "settings.Classes[1].Name".
std::string Dotted(const std::string& pointer) {
  std::string path;
  for (const char c : pointer.substr(1)) path += c == '/' ? '.' : c;
  for (std::size_t digit;
       (digit = path.find_first_of("0123456789")) != std::string::npos && path[digit - 1] == '.';) {
    path = path.substr(0, digit - 1) + '[' + path[digit] + ']' + path.substr(digit + 1);
  }
  return path;
}

class Site : public ::testing::TestWithParam<const char*> {
 protected:
  std::string site() const { return GetParam(); }
  json config() const { return ReadJson(PathOf(site(), "config.json")); }
};

INSTANTIATE_TEST_SUITE_P(, Site, ::testing::Values("parcels", "clinic"),
                         [](const auto& info) { return std::string(info.param); });

TEST(Sites, AreReadAsWrittenAndDiffer) {
  const auto parcels = Load(ReadJson(PathOf("parcels", "config.json"))).settings;
  const auto clinic = Load(ReadJson(PathOf("clinic", "config.json"))).settings;
  EXPECT_TRUE(parcels.membership_on_request);
  EXPECT_FALSE(clinic.membership_on_request);
  EXPECT_EQ(parcels.rules.drain_within, milliseconds(2500));
  EXPECT_EQ(clinic.rules.drain_within, milliseconds(100));
  EXPECT_EQ(parcels.rules.poll_within, seconds(40));
  EXPECT_EQ(parcels.classes[0].deadline, milliseconds(400));
  EXPECT_EQ(clinic.classes[1].deadline, seconds(12));
  EXPECT_EQ(parcels.classes[1].effect, Effect::kUnsafe);
  EXPECT_EQ(parcels.classes[2].effect, Effect::kKeyed);
  EXPECT_EQ(parcels.classes[2].key_window, milliseconds(300));
  EXPECT_EQ(clinic.classes[2].key_scope, KeyScope::kZone);
  EXPECT_EQ(parcels.limits.max_retry_after, milliseconds(200));
  EXPECT_EQ(clinic.limits.max_retry_after, seconds(20));
  EXPECT_EQ(parcels.limits.max_attempts, 3U);
  EXPECT_EQ(clinic.limits.max_attempts, 12U);
  EXPECT_TRUE(parcels.limits.cancel);
  EXPECT_FALSE(clinic.limits.cancel);
  EXPECT_FALSE(parcels.limits.hedging);
  EXPECT_EQ(parcels.tenants.size(), 0U);
  EXPECT_EQ(clinic.tenants.size(), 3U);
  EXPECT_EQ(parcels.sidecar_count, 24U);
  EXPECT_EQ(parcels.sidecar_index, 5U);
  EXPECT_EQ(Load(ReadJson(PathOf("parcels", "config.json"))).memory, std::size_t{48} << 20);
}

// Each deployment has two files, that of the benchmark and that of the sidecar, which must agree.
TEST_P(Site, ConfigurationAgreesWithTheBenchmarksFile) {
  const toml::table file = toml::parse_file(PathOf(site(), site() + ".toml"));
  const auto settings = Load(config()).settings;
  const auto time = [](const auto& node) { return milliseconds(node.value_or(std::int64_t{-1})); };
  const toml::array& classes = *file["class"].as_array();
  ASSERT_EQ(classes.size(), settings.classes.size());
  const std::map<std::string, Effect> effects = {
      {"safe", Effect::kSafe}, {"keyed", Effect::kKeyed}, {"unsafe", Effect::kUnsafe}};
  for (std::size_t i = 0; i < classes.size(); ++i) {
    const toml::table& cls = *classes[i].as_table();
    EXPECT_EQ(cls["name"].value_or(""), settings.classes[i].name);
    EXPECT_EQ(time(cls["aim_ms"]), settings.classes[i].latency_objective);
    EXPECT_EQ(time(cls["deadline_ms"]), settings.classes[i].deadline);
    EXPECT_EQ(cls["worth"].value_or(-1.0), settings.classes[i].priority_weight);
    EXPECT_EQ(effects.at(cls["effect"].value_or("")), settings.classes[i].effect);
    const auto window = cls["window_ms"] ? time(cls["window_ms"]) : settings.classes[i].key_window;
    EXPECT_EQ(window, settings.classes[i].key_window);
  }
  EXPECT_EQ(file["discovery"]["mode"].value_or(std::string()) == "ask", settings.membership_on_request);
  EXPECT_EQ(time(file["rules"]["drain_grace_ms"]), settings.rules.drain_within);
  EXPECT_EQ(time(file["rules"]["fall_ms"]), settings.rules.overload_window);
  EXPECT_EQ(file["rules"]["fall_multiple"].value_or(-1.0), settings.rules.overload_multiple);
  EXPECT_EQ(file["allow"]["max_attempts"].value_or(0U), settings.limits.max_attempts);
  EXPECT_EQ(file["allow"]["cancel"].value_or(false), settings.limits.cancel);
  EXPECT_EQ(file["allow"]["second_copies"].value_or(false), settings.limits.hedging);
  EXPECT_EQ(time(file["clients"]["max_retry_after_ms"]), settings.limits.max_retry_after);
}

// real.json defines the names used on the wire: the sidecar reads a list written with them and rejects a list
// with a misspelt one, naming it.
TEST_P(Site, SidecarReadsTheNamesUsedOnTheWire) {
  const json real = ReadJson(PathOf(site(), "real.json"));
  const auto list = [](const json& names) {
    const auto text = [&names](const char* pointer) { return names.at(Pointer(pointer)).get<std::string>(); };
    json targets = json::array();
    for (const char* state : {"/states/ready", "/states/draining"}) {
      targets.push_back({{text("/f/id"), state},
                         {text("/f/addr"), "127.0.0.1:9100"},
                         {text("/f/zone"), "z"},
                         {text("/f/kind"), "k"},
                         {text("/f/cell"), 4},
                         {text("/f/state"), text(state)},
                         {text("/f/weight"), 2.5},
                         {text("/f/started"), 0}});
    }
    return json{{text("/f/version"), 7}, {text("/f/full"), true}, {text("/f/list"), targets}};
  };
  const auto read = discovery::ParseList(list(real));
  ASSERT_EQ(read.update.upstreams.size(), 2U);
  EXPECT_EQ(read.revision, 7U);
  const auto& info = read.update.upstreams[1];
  EXPECT_EQ(info.state, balancer::UpstreamState::kDraining);
  EXPECT_EQ(info.zone, "z");
  EXPECT_EQ(info.kind, "k");
  EXPECT_EQ(info.cell, 4);
  EXPECT_EQ(info.weight, 2.5);
  // The error states the name that is missing, or unknown.
  for (const char* pointer :
       {"/f/version", "/f/full", "/f/list", "/f/id", "/f/addr", "/f/state", "/states/ready"}) {
    json misspelt = real;
    misspelt[Pointer(pointer)] = "misspelt";
    const std::string name =
        std::string(pointer).starts_with("/f/") ? real.at(Pointer(pointer)).get<std::string>() : "misspelt";
    try {
      discovery::ParseList(list(misspelt));
      ADD_FAILURE() << pointer << ": the misspelt name was accepted";
    } catch (const std::exception& e) {
      EXPECT_NE(std::string(e.what()).find(name), std::string::npos) << pointer << ": " << e.what();
    }
  }
}

// The valid values of a field.
enum class ValidValues {
  kText,
  kEnum,
  kFlag,
  kTime,
  kPositiveTime,
  kCount,
  kFraction,
  kPositive,
  kNumber,
  kList
};

// Values that a field with these valid values must reject.
std::vector<json> InvalidValues(ValidValues valid) {
  const double too_much = 1e18;
  switch (valid) {
    case ValidValues::kText:
      return {7, true, json::array()};
    case ValidValues::kEnum:
      return {7, "", "sometimes", json::object()};
    case ValidValues::kFlag:
      return {0, "true", json::array()};
    case ValidValues::kTime:
      return {"1 s", true, 2.5, -1, too_much, 1e300, json::object()};
    case ValidValues::kPositiveTime:
      return {"1 s", true, 2.5, -1, 0, too_much, json::object()};
    case ValidValues::kCount:
      return {"three", true, 2.5, -1, 4e6, json::array()};
    case ValidValues::kFraction:
      return {"0.5", false, -0.5, 1.5};
    case ValidValues::kPositive:
      return {"0.5", false, 0, -0.5, too_much};
    case ValidValues::kNumber:
      return {"0.5", false, -0.5};
    case ValidValues::kList:
      return {7, "none", json::object(), json::array({7})};
  }
  return {};
}

constexpr struct {
  const char* pointer;
  ValidValues valid;
  bool optional = false;
} kFields[] = {
    {"/settings/Classes/1/Name", ValidValues::kText},
    {"/settings/Classes/1/Effect", ValidValues::kEnum},
    {"/settings/Classes/1/Aim", ValidValues::kPositiveTime},
    {"/settings/Classes/2/HardLimit", ValidValues::kPositiveTime},
    {"/settings/Classes/1/Worth", ValidValues::kNumber},
    {"/settings/Classes/1/LateWorth", ValidValues::kFraction},
    {"/settings/Classes/1/Stream", ValidValues::kFlag},
    {"/settings/Classes/1/Window", ValidValues::kTime, true},
    {"/settings/Classes/2/Window",
     ValidValues::kPositiveTime},  // the class with idempotency keys at both sites
    {"/settings/Classes/2/KeyScope", ValidValues::kEnum},
    {"/settings/MembershipMode", ValidValues::kEnum},
    {"/settings/PeersTotal", ValidValues::kCount},
    {"/settings/Me", ValidValues::kCount},
    {"/settings/Zone", ValidValues::kText, true},
    {"/settings/Weights", ValidValues::kText, true},
    {"/settings/OverShareWorth", ValidValues::kNumber, true},
    {"/settings/Limits/MaxAttempts", ValidValues::kCount},
    {"/settings/Limits/SecondCopies", ValidValues::kFlag},
    {"/settings/Limits/Cancelling", ValidValues::kFlag},
    {"/settings/Limits/MayProbe", ValidValues::kFlag},
    {"/settings/Limits/RetryAfter", ValidValues::kFlag},
    {"/settings/Limits/MaxRetryAfter", ValidValues::kTime},
    {"/settings/Limits/ConnectTimeout", ValidValues::kPositiveTime},
    {"/settings/Limits/IdleClose", ValidValues::kPositiveTime},
    {"/settings/Limits/Multiplex", ValidValues::kCount},
    {"/settings/Rules/GraceToAnswer", ValidValues::kTime},
    {"/settings/Rules/StopSendingWithin", ValidValues::kTime},
    {"/settings/Rules/ColdFrom", ValidValues::kFraction},
    {"/settings/Rules/Cold", ValidValues::kPositiveTime},
    {"/settings/Rules/FallMultiple", ValidValues::kPositive},
    {"/settings/Rules/Fall", ValidValues::kPositiveTime},
    {"/settings/Prices/CrossZone", ValidValues::kNumber},
    {"/settings/Prices/Handshake", ValidValues::kNumber},
    {"/settings/Prices/Probe", ValidValues::kNumber},
    {"/settings/Prices/Waste", ValidValues::kNumber},
    {"/settings/Prices/LateFail", ValidValues::kNumber},
    {"/settings/Report/How", ValidValues::kText},
    {"/limits/sockets", ValidValues::kCount},
    {"/limits/memory_mb", ValidValues::kPositive, true},
};

TEST_P(Site, DamagedFieldIsNamed) {
  const json good = config();
  ASSERT_EQ(LoadError(good), "accepted");
  const auto expect = [](const json& damaged, const std::string& pointer, const std::string& damage) {
    const std::string error = LoadError(damaged);
    EXPECT_TRUE(Names(error, Dotted(pointer))) << pointer << ' ' << damage << ": " << error;
  };
  for (const auto& field : kFields) {
    ASSERT_TRUE(good.contains(Pointer(field.pointer))) << field.pointer;
    for (const json& damage : InvalidValues(field.valid)) {
      if (std::string_view(field.pointer) == "/limits/memory_mb" && damage == 1e18)
        continue;  // valid: limited to the maximum
      json damaged = good;
      damaged[Pointer(field.pointer)] = damage;
      expect(damaged, field.pointer, damage.dump());
    }
    const Pointer place(field.pointer);
    for (const bool null : {false, true}) {
      json damaged = good;
      if (null) {
        damaged[place] = nullptr;
      } else {
        damaged[place.parent_pointer()].erase(place.back());
      }
      if (!field.optional) expect(damaged, field.pointer, null ? "null" : "missing");
    }
  }
  for (const char* part :
       {"/settings", "/settings/Classes", "/settings/Limits", "/settings/Rules", "/limits"}) {
    for (const json& damage : {json(7), json("none"), json(true)}) {
      json damaged = good;
      damaged[Pointer(part)] = damage;
      expect(damaged, part, damage.dump());
    }
  }
  json damaged = good;
  damaged["settings"]["Classes"] = json::array();
  expect(damaged, "/settings/Classes", "empty");
  damaged["settings"]["Classes"] = {good["settings"]["Classes"][0], good["settings"]["Classes"][0]};
  expect(damaged, "/settings/Classes/1/Name", "twice");
}

// Fields that only one of the deployments uses.
TEST(Sites, DamagedFieldsOfOneSiteAreNamed) {
  json on_request = ReadJson(PathOf("parcels", "config.json"));
  on_request["settings"]["Rules"].erase("MustAskIn");
  EXPECT_TRUE(Names(LoadError(on_request), "settings.Rules.MustAskIn"));
  json pushed = ReadJson(PathOf("clinic", "config.json"));
  pushed["settings"]["Rules"].erase("MustAskIn");
  EXPECT_EQ(LoadError(pushed), "accepted");
  for (const char* name : {"Name", "Share", "QuotaPerS"}) {
    json tenants = ReadJson(PathOf("clinic", "config.json"));
    tenants["settings"]["Tenants"][1].erase(name);
    EXPECT_TRUE(Names(LoadError(tenants), std::string("settings.Tenants[1].") + name));
  }
  json tenants = ReadJson(PathOf("clinic", "config.json"));
  tenants["settings"]["Tenants"][1]["Share"] = -0.1;
  EXPECT_TRUE(Names(LoadError(tenants), "settings.Tenants[1].Share"));
}

// Deployments add fields, and an integer may be written with decimals, as 4.0.
TEST_P(Site, UnknownFieldsAndIntegersWithDecimalsAreAccepted) {
  json file = config();
  file["settings"]["New"] = {{"Figure", 3}};
  file["settings"]["Limits"]["New"] = "word";
  file["settings"]["Limits"]["MaxAttempts"] = 4.0;
  file["settings"]["Classes"][0]["AimStretch"] = 0.5;
  EXPECT_EQ(Load(file).settings.limits.max_attempts, 4U);
}

}  // namespace
}  // namespace mothrack
