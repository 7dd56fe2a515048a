#!/bin/sh
cd "$(dirname "$0")" && exec sh ../kit/run.sh .
