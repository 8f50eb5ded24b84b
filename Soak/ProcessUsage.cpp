#include "Soak/ProcessUsage.h"

#include <arpa/inet.h>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace celeryswitch::Soak {

std::size_t queuedKilobytes(const std::string& address)
{
    constexpr std::string_view listening = "0A";
    in_addr number {};
    ::inet_pton(AF_INET, address.substr(0, address.rfind(':')).c_str(), &number);
    char local[9];
    std::snprintf(local, sizeof local, "%08X", number.s_addr);
    std::ifstream file("/proc/net/tcp");
    std::size_t bytes = 0;
    for (std::string line; std::getline(file, line);) {
        // "number: address:port address:port state sent:received", all in hexadecimal digits.
        std::istringstream row(line);
        std::string place;
        std::string own;
        std::string other;
        std::string state;
        std::string queues;
        row >> place >> own >> other >> state >> queues;
        if (!own.starts_with(local) || state == listening)
            continue;
        const std::size_t colon = queues.find(':');
        bytes += std::stoul(queues.substr(0, colon), nullptr, 16) + std::stoul(queues.substr(colon + 1), nullptr, 16);
    }
    return bytes / 1024;
}

std::size_t statusKilobytes(pid_t process, const std::string& key)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with(key + ":"))
            return std::stoul(line.substr(key.size() + 1));
    }
    return 0;
}

std::size_t openDescriptors(pid_t process)
{
    std::error_code error;
    std::size_t count = 0;
    for (auto entry = std::filesystem::directory_iterator("/proc/" + std::to_string(process) + "/fd", error);
         entry != std::filesystem::directory_iterator(); entry.increment(error))
        ++count;
    return count;
}

}
