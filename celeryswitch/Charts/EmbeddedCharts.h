#pragma once

#include <string_view>

namespace celeryswitch::Charts {

/// Text of a chart file by its name, for example "replica.toml"; empty when there is none. Defined by the build.
std::string_view embeddedFile(std::string_view name);

}
