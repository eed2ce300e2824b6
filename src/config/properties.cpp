#include <Poco/AutoPtr.h>
#include <Poco/Exception.h>
#include <Poco/Util/PropertyFileConfiguration.h>

#include "config/settings.h"

namespace weirmill {

namespace {

using PropertyFile = Poco::AutoPtr<Poco::Util::PropertyFileConfiguration>;

struct NumberProperty {
    const char* name;
    double Properties::* value;
    double min, max;
};
constexpr NumberProperty kNumbers[] = {
    {"election.lease_s", &Properties::election_lease_s, 1.0, 60.0},
    {"preemption.round_s", &Properties::preemption_round_s, 0.5, 600.0},
    {"fleet.idle_keep_boots", &Properties::idle_keep_boots, 0.0, 100.0},
    {"scheduling.pause_s", &Properties::scheduling_pause_s, 0.01, 10.0},
    {"machines.quarantine_s", &Properties::quarantine_s, 0.0, 86400.0},
    {"overload.begin_within_s", &Properties::start_deadline_s, 0.0, 86400.0},
};

struct FlagProperty {
    const char* name;
    bool Properties::* value;
};
constexpr FlagProperty kFlags[] = {
    {"doors.enabled", &Properties::standby_enabled},
    {"membership.enabled", &Properties::membership_enabled},
    {"overload.enabled", &Properties::overload_enabled},
};

PropertyFile open_file(const std::string& path) {
    try {
        return new Poco::Util::PropertyFileConfiguration(path);
    } catch (const Poco::Exception& e) {
        throw SettingsError("properties: " + path + ": " + e.displayText());
    }
}

double read_number(const PropertyFile& file, const NumberProperty& property) {
    double value = 0;
    try {
        value = file->getDouble(property.name);
    } catch (const Poco::Exception&) {
        throw SettingsError(std::string("properties: ") + property.name + " must be a number");
    }
    // The comparisons are false for NaN, so NaN is rejected too.
    const bool in_range = value >= property.min && value <= property.max;
    if (!in_range)
        throw SettingsError(std::string("properties: ") + property.name + " must be between " +
                            std::to_string(property.min) + " and " + std::to_string(property.max));
    return value;
}

bool read_flag(const PropertyFile& file, const FlagProperty& property, bool default_value) {
    try {
        return file->getBool(property.name, default_value);
    } catch (const Poco::Exception&) {
        throw SettingsError(std::string("properties: ") + property.name + " must be true or false");
    }
}

}  // namespace

Properties load_properties(const std::string& path) {
    const auto file = open_file(path);
    Properties p;
    for (const auto& property : kNumbers)
        if (file->hasProperty(property.name)) p.*property.value = read_number(file, property);
    for (const auto& property : kFlags)
        p.*property.value = read_flag(file, property, p.*property.value);
    return p;
}

}  // namespace weirmill
