#include "sidecar/settings_schema.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <iterator>
#include <limits>
#include <set>
#include <string>
#include <string_view>

#include "sidecar/config.h"

namespace mothrack::sidecar {
namespace {

using nlohmann::json;

enum class Kind { kText, kFlag, kWhole, kNumber };
enum class Presence {
  kAlways,
  kTogether,  // with all others of its part that are so, or none of them
  kMayLack,
};

constexpr auto kAny = std::numeric_limits<double>::max();
constexpr double kDay = 86'400e6;   // microseconds: the longest time, far from where sums of times overflow
constexpr double kMostCount = 1e6;  // of sidecars, attempts and the like

struct Shape {
  const char* name;
  Kind kind;
  Presence presence;
  double least = 0;
  double most = 0;
  std::string_view words{};  // between spaces; empty: any text
};

using enum Kind;
using enum Presence;

constexpr Shape kClassShapes[] = {
    {"Name", kText, kAlways},
    {"Effect", kText, kAlways, 0, 0, " read_like idempotency_key non_idempotent "},
    {"Aim", kWhole, kAlways, 1, kDay},
    {"HardLimit", kWhole, kAlways, 1, kDay},
    {"KeyScope", kText, kMayLack, 0, 0, " all zone cell "},
    {"Window", kWhole, kMayLack, 0, kDay},
    {"Worth", kNumber, kTogether, 0, kAny},
    {"LateWorth", kNumber, kTogether, 0, 1},
    {"Stream", kFlag, kTogether},
    {"AimStretch", kNumber, kMayLack, 0, kMostCount},
};
// What a keyed class can't do without.
constexpr Shape kKeyedShapes[] = {
    {"KeyScope", kText, kAlways, 0, 0, " all zone cell "},
    {"Window", kWhole, kAlways, 1, kDay},
};
constexpr Shape kTenantShapes[] = {
    {"Name", kText, kAlways},
    {"Share", kNumber, kTogether, 0, kAny},
    {"QuotaPerS", kNumber, kTogether, 0, kAny},
};
constexpr Shape kTopShapes[] = {
    {"MembershipMode", kText, kAlways, 0, 0, " pushed on_request "},
    {"PeersTotal", kWhole, kTogether, 1, kMostCount},
    {"Me", kWhole, kTogether, 0, kMostCount},
    {"Zone", kText, kMayLack},
    {"Weights", kText, kMayLack},
    {"OverShareWorth", kNumber, kMayLack, 0, kAny},
};
constexpr Shape kLimitShapes[] = {
    {"MaxAttempts", kWhole, kAlways, 1, kMostCount},
    {"SecondCopies", kFlag, kAlways},
    {"Cancelling", kFlag, kAlways},
    {"ConnectTimeout", kWhole, kAlways, 1, kDay},
    {"IdleClose", kWhole, kAlways, 1, kDay},
    {"MayProbe", kFlag, kTogether},
    {"RetryAfter", kFlag, kTogether},
    {"MaxRetryAfter", kWhole, kTogether, 0, kDay},
    {"Multiplex", kWhole, kTogether, 1, kMostCount},
};
constexpr Shape kRuleShapes[] = {
    {"GraceToAnswer", kWhole, kTogether, 0, kDay},
    {"StopSendingWithin", kWhole, kTogether, 0, kDay},
    {"ColdFrom", kNumber, kTogether, 1e-9, 1},
    {"Cold", kWhole, kTogether, 1, kDay},
    {"FallMultiple", kNumber, kTogether, 1e-9, kMostCount},
    {"Fall", kWhole, kTogether, 1, kDay},
    {"MustAskIn", kWhole, kMayLack, 1, kDay},
};
// Where lists have to be asked for.
constexpr Shape kAskedShapes[] = {{"MustAskIn", kWhole, kAlways, 1, kDay}};
constexpr Shape kPriceShapes[] = {
    {"CrossZone", kNumber, kTogether, 0, kAny}, {"Handshake", kNumber, kTogether, 0, kAny},
    {"Probe", kNumber, kTogether, 0, kAny},     {"Waste", kNumber, kTogether, 0, kAny},
    {"LateFail", kNumber, kTogether, 0, kAny},
};
constexpr Shape kReportShapes[] = {{"How", kText, kAlways}};

[[noreturn]] void Bad(const std::string& path, const std::string& what) {
  throw ConfigError("LB_CONFIG: " + path + ' ' + what);
}

bool Lacks(const json& object, const char* name) {
  const auto it = object.find(name);
  return it == object.end() || it->is_null();
}

std::string Bound(double number) {
  return json(number < 1e15 && number >= 1 ? std::round(number) : number).dump();
}

void CheckField(const json& field, const Shape& shape, const std::string& path, Pass pass) {
  if (shape.kind == kFlag) {
    if (!field.is_boolean()) Bad(path, "is neither true nor false");
  } else if (shape.kind == kText) {
    if (!field.is_string()) Bad(path, "is no text");
    const std::string word = ' ' + field.get<std::string>() + ' ';
    if (!shape.words.empty() && (word.size() < 3 || word.find(' ', 1) + 1 != word.size() ||
                                 shape.words.find(word) == std::string_view::npos)) {
      Bad(path, "is none of:" + std::string(shape.words.substr(0, shape.words.size() - 1)));
    }
  } else {
    const bool whole = shape.kind == kWhole;
    const std::string kind = whole ? "is no whole number" : "is no number";
    if (!field.is_number()) Bad(path, kind);
    const double value = field.get<double>();
    // Beyond the second no integer holds it, whatever the range.
    if (whole && (value != std::floor(value) || std::abs(value) > 9e18)) Bad(path, kind);
    if (pass == Pass::kRange && !(value >= shape.least && value <= shape.most)) {
      Bad(path, kind + " from " + Bound(shape.least) +
                    (shape.most < kAny ? " to " + Bound(shape.most) : std::string(" on")));
    }
  }
}

template <std::size_t kCount>
void CheckPart(const json& part, const Shape (&shapes)[kCount], const std::string& path, Pass pass) {
  if (!part.is_object()) Bad(path, "is no object");
  const bool together = std::any_of(std::begin(shapes), std::end(shapes), [&part](const Shape& shape) {
    return shape.presence == kTogether && !Lacks(part, shape.name);
  });
  for (const Shape& shape : shapes) {
    const std::string name = path + '.' + shape.name;
    if (!Lacks(part, shape.name)) {
      CheckField(part[shape.name], shape, name, pass);
    } else if (shape.presence == kAlways || (shape.presence == kTogether && together)) {
      Bad(name, "is missing");
    }
  }
}

template <std::size_t kCount>
void CheckList(const json& list, const Shape (&shapes)[kCount], const std::string& path, Pass pass) {
  if (!list.is_array()) Bad(path, "is no list");
  std::set<std::string> names;
  for (std::size_t i = 0; i < list.size(); ++i) {
    const std::string at = path + '[' + std::to_string(i) + ']';
    CheckPart(list[i], shapes, at, pass);
    if (!names.insert(list[i]["Name"].get<std::string>()).second) Bad(at + ".Name", "is there twice");
  }
}

}  // namespace

void CheckSettings(const json& settings, Pass pass) {
  const std::string top = "settings";
  const auto part = [&settings](const char* name) {
    return Lacks(settings, name) ? json::object() : settings[name];
  };
  if (!settings.is_object()) Bad(top, "is no object");
  if (Lacks(settings, "Classes")) Bad(top + ".Classes", "is missing");
  const json& classes = settings["Classes"];
  CheckList(classes, kClassShapes, top + ".Classes", pass);
  if (classes.empty()) Bad(top + ".Classes", "is an empty list");
  for (std::size_t i = 0; i < classes.size(); ++i) {
    if (classes[i]["Effect"] != "idempotency_key") continue;
    CheckPart(classes[i], kKeyedShapes, top + ".Classes[" + std::to_string(i) + ']', pass);
  }
  if (!Lacks(settings, "Tenants")) CheckList(settings["Tenants"], kTenantShapes, top + ".Tenants", pass);
  CheckPart(settings, kTopShapes, top, pass);
  CheckPart(part("Limits"), kLimitShapes, top + ".Limits", pass);
  CheckPart(part("Rules"), kRuleShapes, top + ".Rules", pass);
  if (settings["MembershipMode"] == "on_request")
    CheckPart(part("Rules"), kAskedShapes, top + ".Rules", pass);
  CheckPart(part("Prices"), kPriceShapes, top + ".Prices", pass);
  if (!Lacks(settings, "Report")) CheckPart(settings["Report"], kReportShapes, top + ".Report", pass);
}

}  // namespace mothrack::sidecar
