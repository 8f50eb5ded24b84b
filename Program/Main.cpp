#include <cstdio>

int main()
{
    std::puts("celeryswitch " CELERYSWITCH_VERSION);
    return 0;
}
